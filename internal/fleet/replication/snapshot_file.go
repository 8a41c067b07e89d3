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

// The replica on disk is one file, snapshotFileName, in a directory of its own:
//
//	magic    8 bytes, snapshotFileMagic
//	length   4 bytes, little-endian: bytes of the text
//	checksum 4 bytes, little-endian: CRC-32C of the text
//	text     one JSON object, snapshotFile
//
// Invariants:
//   - The file is never changed in place: a new one is written beside it, synced, renamed over it, and the directory synced. A crash
//     at any moment leaves the old file or the new one, whole, and perhaps a temporary file beside it.
//   - A file that is shorter, longer or otherwise not what was written is never read as a snapshot.
//
// Recovery: LoadSnapshot removes temporary files and reads the file. A file that is damaged is ErrDamaged and stays in place until
// the next SaveSnapshot replaces it; the pooler begins with an empty replica and fetches the documents.
const (
	snapshotFileName       = "documents"
	snapshotFileMagic      = "tsdocs1\n"
	snapshotFileHeaderSize = len(snapshotFileMagic) + 4 + 4
)

// ErrDamaged is the error of LoadSnapshot for a file that is not what SaveSnapshot wrote.
var ErrDamaged = errors.New("replication: the snapshot file is damaged")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotFile is the text of the file.
type snapshotFile struct {
	ConfirmedAt time.Time `json:"as_of"`
	Snapshot    Snapshot  `json:"state"`
}

// SaveSnapshot writes a replica's snapshot, and when it was last confirmed, into a directory. The zero time stands for never. After an
// error the file that was there before is unchanged.
func SaveSnapshot(dir string, s Snapshot, confirmedAt time.Time) error {
	content, err := encodeSnapshotFile(s, confirmedAt)
	if err != nil {
		return fmt.Errorf("replication: encode snapshot: %w", err)
	}
	temporary, err := writeTemporary(dir, content)
	if err != nil {
		return fmt.Errorf("replication: write snapshot: %w", err)
	}
	if err := os.Rename(temporary, filepath.Join(dir, snapshotFileName)); err != nil {
		_ = os.Remove(temporary) // LoadSnapshot removes it otherwise
		return fmt.Errorf("replication: replace snapshot: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return fmt.Errorf("replication: sync directory: %w", err)
	}
	return nil
}

// writeTemporary writes and syncs a file beside the snapshot file, and returns its name. After an error there is no such file.
func writeTemporary(dir string, content []byte) (name string, err error) {
	file, err := os.CreateTemp(dir, snapshotFileName+".*")
	if err != nil {
		return "", err
	}
	defer func() {
		if err != nil {
			_ = file.Close()
			_ = os.Remove(file.Name())
		}
	}()
	if _, err := file.Write(content); err != nil {
		return "", err
	}
	if err := file.Sync(); err != nil {
		return "", err
	}
	if err := file.Close(); err != nil {
		return "", err
	}
	return file.Name(), nil
}

// syncDir makes a rename within a directory outlive a crash of the machine.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// encodeSnapshotFile returns the content of the file.
func encodeSnapshotFile(s Snapshot, confirmedAt time.Time) ([]byte, error) {
	text, err := json.Marshal(snapshotFile{ConfirmedAt: confirmedAt, Snapshot: s})
	if err != nil {
		return nil, err
	}
	content := make([]byte, 0, snapshotFileHeaderSize+len(text))
	content = append(content, snapshotFileMagic...)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(text)))
	content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(text, castagnoliTable))
	return append(content, text...), nil
}

// LoadSnapshot reads the snapshot in a directory, and when it was last confirmed. Without a file the snapshot is empty. The error of a
// damaged file is ErrDamaged. Temporary files that a crash has left are removed.
func LoadSnapshot(dir string) (s Snapshot, confirmedAt time.Time, err error) {
	if temporary, err := filepath.Glob(filepath.Join(dir, snapshotFileName+".*")); err == nil {
		for _, name := range temporary {
			_ = os.Remove(name) // a later start tries again; the file is never read
		}
	}
	content, err := os.ReadFile(filepath.Join(dir, snapshotFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return Snapshot{}, time.Time{}, nil
	}
	if err != nil {
		return Snapshot{}, time.Time{}, fmt.Errorf("replication: read snapshot: %w", err)
	}
	return decodeSnapshotFile(content)
}

// decodeSnapshotFile reads what encodeSnapshotFile returned. Its error is ErrDamaged.
func decodeSnapshotFile(content []byte) (s Snapshot, confirmedAt time.Time, err error) {
	if len(content) < snapshotFileHeaderSize || string(content[:len(snapshotFileMagic)]) != snapshotFileMagic {
		return Snapshot{}, time.Time{}, ErrDamaged
	}
	length := binary.LittleEndian.Uint32(content[len(snapshotFileMagic):])
	checksum := binary.LittleEndian.Uint32(content[len(snapshotFileMagic)+4:])
	text := content[snapshotFileHeaderSize:]
	if uint64(len(text)) != uint64(length) || crc32.Checksum(text, castagnoliTable) != checksum {
		return Snapshot{}, time.Time{}, ErrDamaged
	}
	var file snapshotFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Snapshot{}, time.Time{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return file.Snapshot, file.ConfirmedAt, nil
}
