package lab

import "testing"

// Whatever packets come as an answer, taking them apart must end, and an answer must be like itself.
func FuzzCompare(f *testing.F) {
	f.Add(byte(3), []byte{1}, []byte("\x03def\x00\x00\x00\x01a\x01a\x0c\x09\x00\x00\x00\x00\x00\xfd\x00\x00\x00\x00\x00"), []byte{0xfe, 0, 0, 2, 0}, []byte{1, 'x'})
	f.Fuzz(func(t *testing.T, command byte, a, b, c, d []byte) {
		answer := [][]byte{}
		for _, p := range [][]byte{a, b, c, d, c} {
			if len(p) > 0 {
				answer = append(answer, p)
			}
		}
		if got := compare(command, answer, answer); len(got) > 0 {
			t.Error(got)
		}
	})
}
