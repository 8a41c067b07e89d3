package audit

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
)

// Journal is a pooler's journal on disk: a file of frames, to which records are appended, and rotated files beside it. It is not safe for
// concurrent use.
//
// Invariants:
//   - A frame whose checksum does not match is never read as a record.
//   - Records before a torn or corrupt one are kept.
//   - A failed Write leaves no part of its record in the file, and the next Write is tried on its own, whatever had failed.
//
// Recovery: a crash of the process leaves each record whole or not at all, as it is written by one system call; a crash of the machine may
// leave a torn one. Open cuts a torn tail off. A corrupt record inside the file stays, for readers to report.
type Journal struct {
	path     string
	maxBytes int64    // of one file
	rotated  int      // how many rotated files are kept: path.1 is the youngest
	file     *os.File // nil: it could not be opened after the rotation
	size     int64    // of the file's whole records
	torn     bool     // part of a record follows size, and could not be cut off
}

// Open opens a journal for writing, or creates it, and returns how many bytes of a torn tail were cut off. It returns an error for a file
// that is not a journal, and leaves the file as it is.
func Open(path string, maxBytes int64, rotatedFiles int) (j *Journal, cut int64, err error) {
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, 0, fmt.Errorf("audit: read journal: %w", err)
	}
	size, err := recoveredSize(path, content)
	if err != nil {
		return nil, 0, err
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, 0, fmt.Errorf("audit: open journal: %w", err)
	}
	if err := truncate(file, size); err != nil {
		_ = file.Close()
		return nil, 0, fmt.Errorf("audit: cut torn record off: %w", err)
	}
	return &Journal{path: path, maxBytes: maxBytes, rotated: rotatedFiles, file: file, size: size}, int64(len(content)) - size, nil
}

// recoveredSize returns the size of the file's content up to a torn tail. A corrupt record inside the file is not cut off.
func recoveredSize(path string, content []byte) (int64, error) {
	_, damage := Parse(path, content)
	if len(damage) == 0 {
		return int64(len(content)), nil
	}
	last := damage[len(damage)-1]
	atBeginning := last.Offset == 0
	switch {
	case atBeginning && errors.Is(last, ErrForeign):
		return 0, last
	case errors.Is(last, ErrCorrupt) && !atBeginning:
		return int64(len(content)), nil
	}
	return last.Offset, nil
}

// truncate cuts a file off at a size, and goes on there.
func truncate(file *os.File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return err
	}
	_, err := file.Seek(size, io.SeekStart)
	return err
}

// Write appends a record. A full file is rotated first.
func (j *Journal) Write(r Record) error {
	frame, err := Append(nil, r)
	if err != nil {
		return err
	}
	if j.size > 0 && j.size+int64(len(frame)) > j.maxBytes {
		if err := j.rotate(); err != nil {
			return fmt.Errorf("audit: rotate journal: %w", err)
		}
	}
	if err := j.prepare(); err != nil {
		return fmt.Errorf("audit: prepare journal: %w", err)
	}
	written, err := j.file.Write(frame)
	switch {
	case err == nil:
		j.size += int64(written)
		return nil
	case written > 0: // a full disk: no part of the record stays
		j.torn = true
		return fmt.Errorf("audit: write record: %w", errors.Join(err, j.prepare()))
	}
	return fmt.Errorf("audit: write record: %w", err)
}

// prepare opens the file if it is not open, and cuts off what follows its last whole record.
func (j *Journal) prepare() error {
	if j.file == nil {
		file, err := os.OpenFile(j.path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return err
		}
		j.file = file
		j.size = 0
		j.torn = false
	}
	if !j.torn {
		return nil
	}
	if err := truncate(j.file, j.size); err != nil {
		return err
	}
	j.torn = false
	return nil
}

// rotate renames the file and the rotated files. After an error the record is not written, and the next one tries again.
func (j *Journal) rotate() error {
	for i := j.rotated; i > 0; i-- {
		err := os.Rename(j.rotatedPath(i-1), j.rotatedPath(i))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	err := j.file.Close()
	j.file = nil
	j.size = 0
	return err
}

// rotatedPath returns the path of the ith rotated file; 0 stands for the journal's own.
func (j *Journal) rotatedPath(i int) string {
	if i == 0 {
		return j.path
	}
	return fmt.Sprintf("%s.%d", j.path, i)
}

// Close closes the file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}
