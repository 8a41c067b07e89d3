package postgres

// Cacheable returns a copy of an answer that may be given to other clients, and its size in bytes: a server's row messages, which
// hold nothing of the request that they answered. ok is false for an error, and for an answer that was passed on as it came. The
// copy has no spare capacity: a session that appends its own messages does not write into another's.
func Cacheable(answer any) (copied any, bytes int, ok bool) {
	rows, ok := answer.([]byte)
	if !ok || len(rows) == 0 || rows[0] != 'T' {
		return nil, 0, false
	}
	out := append([]byte(nil), rows...)
	return out[:len(out):len(out)], len(out), true
}
