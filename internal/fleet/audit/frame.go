package audit

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// A frame is four bytes of length and four of CRC-32C, both little-endian, followed by one Record as JSON.
const (
	frameHeaderSize = 4 + 4
	// maxRecordSize bounds a frame's JSON, in bytes: names are short, and the length in a torn header must not be believed.
	maxRecordSize = 64 << 10
)

// Errors of Next. Their texts follow the place in the output of the audit command.
var (
	ErrTorn    = errors.New("the journal ends inside a record")
	ErrCorrupt = errors.New("a record's checksum does not fit")
	ErrForeign = errors.New("no journal of acts")
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Append appends a record's frame to b.
func Append(b []byte, r Record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return b, fmt.Errorf("audit: encode record: %w", err)
	}
	if len(text) > maxRecordSize {
		return b, fmt.Errorf("audit: a record of %d bytes is over %d", len(text), maxRecordSize)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(text, castagnoliTable))
	return append(b, text...), nil
}

// Next reads the frame at the beginning of b, and returns its size. The error is ErrTorn, ErrCorrupt or ErrForeign. With an error the size
// is 0, except for a corrupt or foreign frame whose length can be believed, so that what follows can still be read.
func Next(b []byte) (r Record, size int, err error) {
	if len(b) < frameHeaderSize {
		return Record{}, 0, ErrTorn
	}
	length := int(binary.LittleEndian.Uint32(b))
	size = frameHeaderSize + length
	switch {
	case length > maxRecordSize || length < len("{}"):
		return Record{}, 0, ErrForeign
	case len(b) < size:
		return Record{}, 0, ErrTorn
	}
	text := b[frameHeaderSize:size]
	if crc32.Checksum(text, castagnoliTable) != binary.LittleEndian.Uint32(b[4:]) {
		return Record{}, size, ErrCorrupt
	}
	if err := json.Unmarshal(text, &r); err != nil || r.Act == "" || r.Instance == "" {
		return Record{}, size, ErrForeign
	}
	return r, size, nil
}

// DamageError is a place in a journal that could not be read.
type DamageError struct {
	File   string
	Offset int64 // bytes
	Err    error // ErrTorn, ErrCorrupt or ErrForeign
}

// Error returns the place and the cause.
func (e DamageError) Error() string {
	return fmt.Sprintf("%s: at byte %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e DamageError) Unwrap() error { return e.Err }

// Parse reads the content of a journal: its records, and a DamageError for each place that can't be read. What follows a corrupt record is
// read if the record's length leads to another one; where framing is lost, reading ends.
func Parse(file string, content []byte) (records []Record, damage []DamageError) {
	for offset := 0; offset < len(content); {
		r, size, err := Next(content[offset:])
		if err == nil {
			records = append(records, r)
		} else {
			damage = append(damage, DamageError{File: file, Offset: int64(offset), Err: err})
		}
		if size == 0 {
			break
		}
		offset += size
	}
	return records, damage
}
