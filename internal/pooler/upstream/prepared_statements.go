package upstream

// maxPreparedPerConn is how many statements are kept prepared on one connection to a server.
const maxPreparedPerConn = 64

// PreparedStatements are the statements that are prepared on one connection, by a key of the protocol's choice. The oldest makes
// room for a new one.
type PreparedStatements[S any] struct {
	byKey map[string]S
	order []string // the keys, the oldest first
}

// Get returns a statement that is prepared already.
func (p *PreparedStatements[S]) Get(key string) (statement S, ok bool) {
	statement, ok = p.byKey[key]
	return statement, ok
}

// MakeRoom removes the oldest statement if there is no room for another, and returns it for the server to close.
func (p *PreparedStatements[S]) MakeRoom() (removed S, ok bool) {
	if len(p.order) < maxPreparedPerConn {
		return removed, false
	}
	oldest := p.order[0]
	removed = p.byKey[oldest]
	delete(p.byKey, oldest)
	p.order = p.order[1:]
	return removed, true
}

// Add enters a statement that has been prepared.
func (p *PreparedStatements[S]) Add(key string, statement S) {
	if p.byKey == nil {
		p.byKey = map[string]S{}
	}
	p.byKey[key] = statement
	p.order = append(p.order, key)
}
