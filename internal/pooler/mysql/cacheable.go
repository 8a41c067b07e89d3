package mysql

// Cacheable returns a copy of answer and its size in bytes if answer is a result set, which may be served to other clients with the
// same cache variant. ok is false for an error and for an answer that is not a result set.
func Cacheable(answer any) (copied any, bytes int, ok bool) {
	raw, ok := answer.([]byte)
	const headerLength = 4 // of the first packet, whose payload is the number of columns if the answer is a result set
	if !ok || len(raw) <= headerLength || raw[headerLength] == 0 || raw[headerLength] >= 0xfb {
		return nil, 0, false
	}
	clone := append([]byte(nil), raw...)
	return clone[:len(clone):len(clone)], len(clone), true
}
