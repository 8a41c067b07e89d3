package postgres

// Cacheable returns a copy of an answer that may be sent to other clients, and its size in bytes. Such an answer consists of a
// server's row messages, which contain nothing specific to the request. ok is false for an error and for an answer that was
// relayed without being buffered. The copy has no spare capacity, so that sessions that append their own messages do not
// overwrite each other's.
func Cacheable(answer any) (copied any, bytes int, ok bool) {
	rows, ok := answer.([]byte)
	if !ok || len(rows) == 0 || rows[0] != 'T' {
		return nil, 0, false
	}
	rowsCopy := append([]byte(nil), rows...)
	return rowsCopy[:len(rowsCopy):len(rowsCopy)], len(rowsCopy), true
}
