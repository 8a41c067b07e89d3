package lease

// Fence keeps the newest token of each lease that a receiver of actions has seen. The zero Fence has seen none.
type Fence struct{ newestToken map[Name]uint64 }

// Admit reports whether an action with a token may be carried out, and remembers the token if it is the newest.
func (f *Fence) Admit(name Name, token uint64) bool {
	if f.newestToken == nil {
		f.newestToken = map[Name]uint64{}
	}
	if token < f.newestToken[name] {
		return false
	}
	f.newestToken[name] = token
	return true
}
