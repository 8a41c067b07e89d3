package upstream

const (
	// maxPreparedPerConn is the maximum number of prepared statements on one connection to a server.
	maxPreparedPerConn = 64
	// maxPreparedBytesPerConn is the size in bytes of their keys from which on the oldest is evicted for each new one.
	maxPreparedBytesPerConn = 32 << 10
)

// PreparedStatements is the set of statements prepared on one connection, by a key that the protocol defines. At most
// maxPreparedPerConn are kept, and fewer if they are large; the oldest is evicted first.
type PreparedStatements[S any] struct {
	byKey map[string]S
	order []string // keys, oldest first
	bytes int      // size of the keys
}

// Get returns the prepared statement with the given key, if there is one.
func (p *PreparedStatements[S]) Get(key string) (statement S, ok bool) {
	statement, ok = p.byKey[key]
	return statement, ok
}

// MakeRoom removes the oldest statement if the set is full, and returns it so that the caller can close it on the server.
func (p *PreparedStatements[S]) MakeRoom() (removed S, ok bool) {
	full := len(p.order) >= maxPreparedPerConn || p.bytes > maxPreparedBytesPerConn
	if len(p.order) == 0 || !full {
		return removed, false
	}
	oldest := p.order[0]
	p.bytes -= len(oldest)
	removed = p.byKey[oldest]
	delete(p.byKey, oldest)
	p.order = p.order[1:]
	return removed, true
}

// Add adds a statement that has been prepared. The caller calls MakeRoom first.
func (p *PreparedStatements[S]) Add(key string, statement S) {
	if p.byKey == nil {
		p.byKey = map[string]S{}
	}
	p.byKey[key] = statement
	p.order = append(p.order, key)
	p.bytes += len(key)
}
