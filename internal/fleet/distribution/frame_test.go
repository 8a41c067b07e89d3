package distribution

import (
	"bufio"
	"bytes"
	"testing"

	"threadsail/internal/fleet/replication"
)

// Decoding arbitrary bytes returns a frame or an error, and a frame is never longer than the input.
func FuzzFrame(f *testing.F) {
	f.Add(encodeJSONFrame(kindHello, hello{Protocol: 1, Name: "n"}))
	f.Add(encodeFrame(kindMessage, prependNames([]byte("x"), "to", "from", "topic")))
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f, 1})
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := bufio.NewReader(bytes.NewReader(text))
		for {
			frame, err := readFrame(reader, maxPoolerFrame)
			if err != nil {
				return
			}
			if frame.size > len(text) || len(frame.body) >= frame.size {
				t.Errorf("got a frame of %d bytes with a body of %d out of %d bytes", frame.size, len(frame.body), len(text))
			}
			var to, from, topic string
			if rest, err := cutNames(frame.body, &to, &from, &topic); err == nil && !bytes.Equal(prependNames(rest, to, from, topic), frame.body) {
				t.Skip("a length in more bytes than it needs")
			}
			_, _, _ = nextSnapshot(frame.kind, frame.body, replication.Snapshot{Version: 3})
		}
	})
}
