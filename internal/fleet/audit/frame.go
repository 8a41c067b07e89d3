package audit

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// A frame is a four-byte length and a four-byte CRC-32C, both little-endian, followed by one Record as JSON.
const (
	frameHeaderSize = 4 + 4 // bytes
	// maxRecordSize is the maximum size of a frame's JSON in bytes. Names are short; a larger length is not trusted, because the header
	// may be torn.
	maxRecordSize = 64 << 10
)

// Errors of DecodeFrame. The audit command prints their texts after the file and offset of the damage.
var (
	ErrTorn    = errors.New("the journal ends inside a record")
	ErrCorrupt = errors.New("a record's checksum does not fit")
	ErrForeign = errors.New("no journal of acts")
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends the frame of a record to b. It returns an error if the record is larger than maxRecordSize.
func AppendFrame(b []byte, r Record) ([]byte, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return b, fmt.Errorf("audit: encode record: %w", err)
	}
	if len(encoded) > maxRecordSize {
		return b, fmt.Errorf("audit: encode record: %d bytes exceed the limit of %d", len(encoded), maxRecordSize)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(encoded)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(encoded, castagnoliTable))
	return append(b, encoded...), nil
}

// DecodeFrame decodes the frame at the beginning of b and returns its record and size. The error is ErrTorn, ErrCorrupt or ErrForeign. In
// case of an error the size is 0, unless the frame is complete and its length plausible: the caller can then skip it and continue.
func DecodeFrame(b []byte) (r Record, size int, err error) {
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
	encoded := b[frameHeaderSize:size]
	if crc32.Checksum(encoded, castagnoliTable) != binary.LittleEndian.Uint32(b[4:]) {
		return Record{}, size, ErrCorrupt
	}
	if err := json.Unmarshal(encoded, &r); err != nil || r.Act == "" || r.Instance == "" {
		return Record{}, size, ErrForeign
	}
	return r, size, nil
}

// DamageError describes a part of a journal that could not be read.
type DamageError struct {
	File   string
	Offset int64 // position in the file, in bytes
	Err    error // ErrTorn, ErrCorrupt or ErrForeign
}

// Error returns the file, the offset and the cause.
func (e DamageError) Error() string {
	return fmt.Sprintf("%s: at byte %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns Err.
func (e DamageError) Unwrap() error { return e.Err }

// Parse decodes the content of a journal. It returns its records and a DamageError for each frame that can't be decoded. It skips a
// damaged frame whose size is known, and stops where the size is not known.
func Parse(file string, content []byte) (records []Record, damage []DamageError) {
	for offset := 0; offset < len(content); {
		r, size, err := DecodeFrame(content[offset:])
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
