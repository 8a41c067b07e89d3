package lease

// Fence holds the newest fencing token of each lease that the receiver of a holder's actions has seen. The zero Fence has seen
// none.
type Fence struct{ newestToken map[Name]uint64 }

// Admit reports whether an action with a token may be executed: it returns false if a newer token of the lease has been seen.
// Otherwise it records the token.
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
