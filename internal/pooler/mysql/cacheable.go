package mysql

// Cacheable returns a copy of an answer that may be given to other clients of the same cache variant, and its size in bytes: a result
// set. ok is false for an error, and for an answer without rows.
func Cacheable(answer any) (copied any, bytes int, ok bool) {
	raw, ok := answer.([]byte)
	const headerLength = 4 // of the first packet; the payload of a result set's is its number of columns
	if !ok || len(raw) <= headerLength || raw[headerLength] == 0 || raw[headerLength] >= 0xfb {
		return nil, 0, false
	}
	clone := append([]byte(nil), raw...)
	return clone[:len(clone):len(clone)], len(clone), true
}
