package postgres

// Cacheable is an answer as it may be given to other clients, and its bytes: a server's row messages, which hold nothing of the request
// that they answered. Not ok: an error, or an answer that was passed on as it came. The copy has no room behind it, so that a
// session that puts its own messages there does not write into another's.
func Cacheable(answer any) (kept any, bytes int, ok bool) {
	rows, ok := answer.([]byte)
	if !ok || len(rows) == 0 || rows[0] != 'T' {
		return nil, 0, false
	}
	out := append([]byte(nil), rows...)
	return out[:len(out):len(out)], len(out), true
}
