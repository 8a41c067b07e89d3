package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	headEnd          = "\r\n\r\n"
	lineEnd          = "\r\n"
	maxChunkSizeLine = 64 // bytes
)

// bodyReader reads the body of an HTTP answer that comes in chunks, or has no length and goes on to the end of the connection.
type bodyReader struct {
	buffer    []byte // what was read and not used
	headed    bool   // the head was read
	chunked   bool
	remaining int // bytes of the chunk that has begun, its line end included; math.MaxInt where there are no chunks
}

// add adds bytes, and tells whether the head is complete.
func (r *bodyReader) add(b []byte) (headed bool, err error) {
	r.buffer = append(r.buffer, b...)
	if r.headed {
		return true, nil
	}
	end := bytes.Index(r.buffer, []byte(headEnd))
	if end < 0 {
		if len(r.buffer) > maxHeadBytes {
			return false, errors.New("discovery: the head of the answer is too long")
		}
		return false, nil
	}
	if err := r.readHead(string(r.buffer[:end])); err != nil {
		return false, err
	}
	r.buffer = r.buffer[end+len(headEnd):]
	r.headed = true
	return true, nil
}

// readHead accepts a 200 whose body is a stream.
func (r *bodyReader) readHead(head string) error {
	lines := strings.Split(head, lineEnd)
	status := strings.SplitN(lines[0], " ", 3)
	if len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return errors.New("discovery: the answer is not HTTP/1.1")
	}
	if status[1] != "200" {
		return fmt.Errorf("discovery: status %.8q", status[1])
	}
	r.remaining = math.MaxInt
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case strings.EqualFold(name, "Transfer-Encoding") && strings.EqualFold(strings.TrimSpace(value), "chunked"):
			r.chunked = true
			r.remaining = 0
			return nil
		case strings.EqualFold(name, "Transfer-Encoding"), strings.EqualFold(name, "Content-Length"):
			return errors.New("discovery: the answer is no stream")
		}
	}
	return nil
}

// empty tells whether all bytes are used.
func (r *bodyReader) empty() bool { return len(r.buffer) == 0 }

// next returns bytes of the body; nil: more must come first. Those returned with an error count.
func (r *bodyReader) next() ([]byte, error) {
	if r.remaining == 0 {
		if begun, err := r.beginChunk(); err != nil || !begun {
			return nil, err
		}
	}
	n := min(len(r.buffer), r.remaining)
	text := r.buffer[:n]
	r.buffer = r.buffer[n:]
	r.remaining -= n
	if r.chunked {
		return r.withoutLineEnd(text)
	}
	return text, nil
}

// beginChunk reads the line with a chunk's size, if it is complete.
func (r *bodyReader) beginChunk() (begun bool, err error) {
	end := bytes.Index(r.buffer, []byte(lineEnd))
	if end < 0 {
		if len(r.buffer) > maxChunkSizeLine {
			return false, errors.New("discovery: a chunk has no size")
		}
		return false, nil
	}
	hexadecimal, _, _ := bytes.Cut(r.buffer[:end], []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(hexadecimal)), 16, 31)
	if err != nil || size > maxListBytes {
		return false, fmt.Errorf("discovery: chunk size %.16q", hexadecimal)
	}
	r.buffer = r.buffer[end+len(lineEnd):]
	if size == 0 {
		return false, errors.New("discovery: the watch has ended")
	}
	r.remaining = int(size) + len(lineEnd)
	return true, nil
}

// withoutLineEnd cuts off what of a chunk's line end is in its last piece.
func (r *bodyReader) withoutLineEnd(text []byte) ([]byte, error) {
	over := min(len(lineEnd)-r.remaining, len(text))
	if over <= 0 {
		return text, nil
	}
	content := text[:len(text)-over]
	if !strings.HasSuffix(lineEnd[:len(lineEnd)-r.remaining], string(text[len(text)-over:])) {
		return content, errors.New("discovery: a chunk does not end where it should")
	}
	return content, nil
}
