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

// A replica is stored on disk as one file, snapshotFileName, in a directory of its own:
//
//	magic    8 bytes, snapshotFileMagic
//	length   4 bytes, little-endian: size of the payload in bytes
//	checksum 4 bytes, little-endian: CRC-32C of the payload
//	payload  a snapshotFile as a JSON object
//
// Invariants:
//   - The file is never modified in place. A new file is written to the same directory, synced and renamed over the old one, and then
//     the directory is synced. A crash at any time leaves either the old or the new file complete, and possibly a temporary file.
//   - A truncated, extended or otherwise corrupted file is never loaded as a snapshot.
//
// Recovery: LoadSnapshot removes temporary files and reads the file. For a damaged file it returns ErrDamaged, and the file stays in
// place until the next SaveSnapshot replaces it. The pooler then starts with an empty replica and fetches the documents.
const (
	snapshotFileName       = "documents"
	snapshotFileMagic      = "tsdocs1\n"
	snapshotFileHeaderSize = len(snapshotFileMagic) + 4 + 4
)

// ErrDamaged is the error of LoadSnapshot for a corrupted file.
var ErrDamaged = errors.New("replication: the snapshot file is damaged")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotFile is the payload of the file.
type snapshotFile struct {
	ConfirmedAt time.Time `json:"as_of"`
	Snapshot    Snapshot  `json:"state"`
}

// SaveSnapshot saves a replica's snapshot and the time of its last confirmation, which is zero if there is none, into a directory.
// After an error an earlier snapshot file is unchanged, unless only the sync of the directory failed.
func SaveSnapshot(dir string, snapshot Snapshot, confirmedAt time.Time) error {
	content, err := encodeSnapshotFile(snapshot, confirmedAt)
	if err != nil {
		return fmt.Errorf("replication: encode snapshot: %w", err)
	}
	temporary, err := writeTemporary(dir, content)
	if err != nil {
		return fmt.Errorf("replication: write snapshot: %w", err)
	}
	if err := os.Rename(temporary, filepath.Join(dir, snapshotFileName)); err != nil {
		_ = os.Remove(temporary) // after an error the next LoadSnapshot removes it
		return fmt.Errorf("replication: replace snapshot: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return fmt.Errorf("replication: sync directory: %w", err)
	}
	return nil
}

// writeTemporary writes a temporary file in the directory of the snapshot file, syncs it and returns its name. It removes the file if
// an error occurs.
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

// syncDir syncs a directory, so that a rename within it survives a crash of the machine.
func syncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// encodeSnapshotFile returns the content of a snapshot file.
func encodeSnapshotFile(snapshot Snapshot, confirmedAt time.Time) ([]byte, error) {
	payload, err := json.Marshal(snapshotFile{ConfirmedAt: confirmedAt, Snapshot: snapshot})
	if err != nil {
		return nil, err
	}
	content := make([]byte, 0, snapshotFileHeaderSize+len(payload))
	content = append(content, snapshotFileMagic...)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(payload)))
	content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(payload, castagnoliTable))
	return append(content, payload...), nil
}

// LoadSnapshot loads the snapshot in a directory and the time of its last confirmation. It returns an empty snapshot if there is no
// file, and an error that wraps ErrDamaged if the file is corrupted. It removes temporary files that a crash has left.
func LoadSnapshot(dir string) (snapshot Snapshot, confirmedAt time.Time, err error) {
	if temporary, err := filepath.Glob(filepath.Join(dir, snapshotFileName+".*")); err == nil {
		for _, name := range temporary {
			_ = os.Remove(name) // on failure the next start retries; temporary files are never read
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

// decodeSnapshotFile decodes the content of a snapshot file. Its error wraps ErrDamaged.
func decodeSnapshotFile(content []byte) (snapshot Snapshot, confirmedAt time.Time, err error) {
	if len(content) < snapshotFileHeaderSize || string(content[:len(snapshotFileMagic)]) != snapshotFileMagic {
		return Snapshot{}, time.Time{}, ErrDamaged
	}
	length := binary.LittleEndian.Uint32(content[len(snapshotFileMagic):])
	checksum := binary.LittleEndian.Uint32(content[len(snapshotFileMagic)+4:])
	payload := content[snapshotFileHeaderSize:]
	if uint64(len(payload)) != uint64(length) || crc32.Checksum(payload, castagnoliTable) != checksum {
		return Snapshot{}, time.Time{}, ErrDamaged
	}
	var file snapshotFile
	if err := json.Unmarshal(payload, &file); err != nil {
		return Snapshot{}, time.Time{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return file.Snapshot, file.ConfirmedAt, nil
}
