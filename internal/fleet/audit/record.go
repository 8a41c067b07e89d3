// Package audit keeps what a pooler did on which version, and finds out from many poolers' journals what the fleet did: its
// versions over time, stragglers, acts by old tokens, and where poolers disagreed about a primary.
//
// A journal is a file of frames, appended only: four bytes of length, four of CRC-32C, both little-endian, then one JSON
// Record. What holds: a frame whose checksum does not fit is never read as a record; a torn tail, as a crash leaves one, is
// cut when the journal is opened for writing and told of when it is read; records before it are kept.
package audit

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// Act is what a record tells of.
type Act string

// The acts. What further fields a record holds is told with each.
const (
	Started         Act = "started"       // the process serves
	Ended           Act = "ended"         // it ends in order
	PrimaryAdopted  Act = "primary-taken" // Group, Server: writes go there from now on
	PrimaryDropped  Act = "primary-left"  // Group, Server: and no longer
	ListApplied     Act = "list-taken"    // Revision; Token and Seq if it was handed on
	ConfigApplied   Act = "config-taken"  // Config
	LeaseHeld       Act = "lease-held"    // Token
	LeaseLost       Act = "lease-lost"    // Token
	ListAnnounced   Act = "handed-on"     // Token, Seq, Revision: an act of the list duty
	WritesBarred    Act = "shut-out"      // it takes no writes: barred, or behind for too long
	WritesRestored  Act = "brought-up"    // it takes writes again
	Refused         Act = "refused"       // Token, Seq: a word or list older than one before it
	EjectionBegun   Act = "verdict-begun" // Server: the fleet holds it to be bad, by the evidence that this pooler has
	EjectionEnded   Act = "verdict-ended" // Server: and no longer
	Purged          Act = "purged"        // Purge, Due: a cache was emptied, once for each purge
	ReplicaNotSaved Act = "unkept"        // its copy of the shared documents can't be written to its disk
	ReplicaSaved    Act = "kept"          // and can be again
	RecordsDropped  Act = "dropped"       // Seq: acts that could not be written here, since the record before
)

// QuotasAllocated is the act of a pooler that allocates the fleet's quotas from now on; its record has the Token.
const QuotasAllocated Act = "limits-dealt"

// MustBeRecorded tells whether the act must be in the journal once: one that a full disk turns down is written when there is room again.
func (a Act) MustBeRecorded() bool { return a == Purged }

// Record is one act of one pooler. The zero value of a field that an act has no use for is left out.
type Record struct {
	At       int64  `json:"at"`       // Unix time in ns, by the pooler's clock
	Instance string `json:"instance"` // NAME/PROCESS: the pooler's name, and what tells its processes apart
	Build    string `json:"build"`
	Config   string `json:"config"`   // digest of the configuration in force
	Revision uint64 `json:"revision"` // of the list in force
	Token    uint64 `json:"token,omitempty"`
	Sequence uint64 `json:"seq,omitempty"`
	Act      Act    `json:"act"`
	Group    int    `json:"group,omitempty"`
	Server   string `json:"server,omitempty"`
	Purge    string `json:"purge,omitempty"` // names the close, plan or order for good, at all poolers alike
	Due      int64  `json:"due,omitempty"`   // its instant, Unix time in ns
}

// Time is At for people and sorting.
func (r Record) Time() time.Time { return time.Unix(0, r.At) }

const (
	frameHeaderSize = 8
	maxRecordSize   = 64 << 10 // of a frame's JSON: names are short, and a torn length must not be believed
)

// What Next finds wrong.
var (
	ErrTorn    = errors.New("the journal ends inside a record")
	ErrCorrupt = errors.New("a record's checksum does not fit")
	ErrForeign = errors.New("no journal of acts")
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Append puts a record's frame behind b.
func Append(b []byte, r Record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return b, err
	}
	if len(text) > maxRecordSize {
		return b, fmt.Errorf("audit: a record of %d bytes is over %d", len(text), maxRecordSize)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(text, castagnoliTable))
	return append(b, text...), nil
}

// Next reads the frame at the beginning of b and tells how long it is. Errors are ErrTorn, ErrCorrupt and ErrForeign; of a
// corrupt frame whose length can be believed n is that length, so that what follows can still be read, else 0.
func Next(b []byte) (r Record, n int, err error) {
	if len(b) < frameHeaderSize {
		return r, 0, ErrTorn
	}
	size := int(binary.LittleEndian.Uint32(b))
	switch {
	case size > maxRecordSize || size < 2:
		return r, 0, ErrForeign
	case len(b) < frameHeaderSize+size:
		return r, 0, ErrTorn
	}
	text := b[frameHeaderSize : frameHeaderSize+size]
	if crc32.Checksum(text, castagnoliTable) != binary.LittleEndian.Uint32(b[4:]) {
		return r, frameHeaderSize + size, ErrCorrupt
	}
	if err := json.Unmarshal(text, &r); err != nil || r.Act == "" || r.Instance == "" {
		return Record{}, frameHeaderSize + size, ErrForeign
	}
	return r, frameHeaderSize + size, nil
}

// DamageError is a place in a journal that could not be read.
type DamageError struct {
	File   string
	Offset int64
	Err    error
}

func (p DamageError) Error() string {
	return fmt.Sprintf("%s: at byte %d: %v", p.File, p.Offset, p.Err)
}

// Unwrap is the cause, ErrTorn, ErrCorrupt or ErrForeign.
func (p DamageError) Unwrap() error { return p.Err }

// Parse reads a whole journal's text: its records, and a problem for each place that can't be read. What comes behind a
// corrupt record is read where its length leads to another record; where framing is lost, reading ends.
func Parse(file string, b []byte) (records []Record, problems []DamageError) {
	for at := 0; at < len(b); {
		r, n, err := Next(b[at:])
		if err != nil {
			problems = append(problems, DamageError{file, int64(at), err})
			if n == 0 {
				break
			}
		} else {
			records = append(records, r)
		}
		at += n
	}
	return records, problems
}
