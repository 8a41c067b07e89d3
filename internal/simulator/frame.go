// Package simulator reads and writes the frames between the simulator and a process that hosts poolers for it. It knows the
// layouts and their bounds and decides nothing. Nothing in it is safe for concurrent use.
//
// The names here are those of the field. The comments give the wire's own names, where they differ.
package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes and bounds of a frame.
const (
	BatchHeader = 20 // bytes before the records of a batch
	ReplyHeader = 8  // bytes before the records of a reply
	EntrySize   = 27 // bytes of a ServerEntry
	ListSlots   = 16 // numbered lists that a process keeps

	maxFrame = 1 << 30  // a longer frame is taken for garbage
	readStep = 64 << 10 // a frame is read in steps of this, so that a false length costs no memory
	sizeAt   = 8        // byte of a batch's length in its header
)

// ReadFrame reads one frame, into the buffer as far as that is large enough. It returns io.EOF only where the input ends
// between two frames.
func ReadFrame(input io.Reader, buffer []byte) ([]byte, error) {
	var header [BatchHeader]byte
	if n, err := io.ReadFull(input, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: input ends after %d of %d bytes: %w", n, BatchHeader, err)
	}
	size := binary.LittleEndian.Uint32(header[sizeAt:])
	if size < BatchHeader || size > maxFrame {
		return nil, fmt.Errorf("batch header, byte %d: impossible frame length %d", sizeAt, size)
	}
	frame := buffer[:0]
	frame = append(frame, header[:]...)
	for len(frame) < int(size) {
		read := len(frame)
		frame = extend(frame, min(int(size)-read, readStep))
		if n, err := io.ReadFull(input, frame[read:]); err != nil {
			return nil, fmt.Errorf("batch: input ends after %d of %d bytes: %w", read+n, size, io.ErrUnexpectedEOF)
		}
	}
	return frame, nil
}

// extend makes a slice longer by some bytes, whose content is left over where there was room.
func extend(b []byte, more int) []byte {
	if cap(b)-len(b) < more {
		return append(b, make([]byte, more)...)
	}
	return b[:len(b)+more]
}
