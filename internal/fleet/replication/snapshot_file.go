package replication

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// The copy on disk is one file: a mark, the length of what follows and its CRC-32C, both little-endian, then one JSON object. It is
// written beside the old one and takes its name once it is whole and on the disk: a crash leaves the old one or the new one.
const (
	snapshotFileName       = "documents"
	snapshotFileMagic      = "tsdocs1\n"
	snapshotFileHeaderSize = len(snapshotFileMagic) + 8
)

// ErrDamaged tells that the copy on disk is not what was written.
var ErrDamaged = errors.New("shared: the copy on disk is damaged")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

type snapshotFile struct {
	ConfirmedAt time.Time `json:"as_of"`
	Snapshot    Snapshot  `json:"state"`
}

// SaveSnapshot writes a copy into a folder; asOf is when it was last confirmed, the zero time if never. After an error the copy that was
// there stands.
func SaveSnapshot(dir string, s Snapshot, asOf time.Time) (err error) {
	text, err := encodeSnapshotFile(s, asOf)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(dir, snapshotFileName+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = file.Close()
			_ = os.Remove(file.Name())
		}
	}()
	if _, err = file.Write(text); err != nil {
		return err
	}
	if err = file.Sync(); err != nil {
		return err
	}
	if err = file.Close(); err != nil {
		return err
	}
	if err = os.Rename(file.Name(), filepath.Join(dir, snapshotFileName)); err != nil {
		return err
	}
	return syncDir(dir)
}

// syncDir has a name that was given in a folder outlive a crash of the machine.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func encodeSnapshotFile(s Snapshot, asOf time.Time) ([]byte, error) {
	text, err := json.Marshal(snapshotFile{asOf, s})
	if err != nil {
		return nil, err
	}
	b := append(make([]byte, 0, snapshotFileHeaderSize+len(text)), snapshotFileMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(text, castagnoliTable))
	return append(b, text...), nil
}

// LoadSnapshot reads the copy in a folder; without one it is empty. One that was damaged is ErrDamaged, and stays as it is. What a crash
// left half-written is removed.
func LoadSnapshot(dir string) (s Snapshot, asOf time.Time, err error) {
	if left, err := filepath.Glob(filepath.Join(dir, snapshotFileName+".*")); err == nil {
		for _, name := range left {
			_ = os.Remove(name)
		}
	}
	b, err := os.ReadFile(filepath.Join(dir, snapshotFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return Snapshot{}, asOf, nil
	}
	if err != nil {
		return Snapshot{}, asOf, err
	}
	return decodeSnapshotFile(b)
}

func decodeSnapshotFile(b []byte) (s Snapshot, asOf time.Time, err error) {
	if len(b) < snapshotFileHeaderSize || string(b[:len(snapshotFileMagic)]) != snapshotFileMagic {
		return s, asOf, ErrDamaged
	}
	size, sum := binary.LittleEndian.Uint32(b[len(snapshotFileMagic):]), binary.LittleEndian.Uint32(b[len(snapshotFileMagic)+4:])
	text := b[snapshotFileHeaderSize:]
	if uint64(len(text)) != uint64(size) || crc32.Checksum(text, castagnoliTable) != sum {
		return s, asOf, ErrDamaged
	}
	var d snapshotFile
	if err := json.Unmarshal(text, &d); err != nil {
		return s, asOf, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return d.Snapshot, d.ConfirmedAt, nil
}
