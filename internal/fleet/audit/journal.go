package audit

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
)

// Journal is a pooler's journal on disk: a file of frames to which records are appended, and rotated files in the same directory. It is
// not safe for concurrent use.
//
// Invariants:
//   - A frame whose checksum does not match is never read as a record.
//   - Records before a torn or corrupt one are kept.
//   - A failed Write leaves no part of its record in the file, and does not prevent the next Write from being tried.
//
// Recovery: each record is written with one system call, so after a crash of the process it is in the file either completely or not at all.
// A crash of the machine may leave a torn record. Open truncates a torn tail. A corrupt record inside the file stays, and readers report
// it.
type Journal struct {
	path       string
	maxBytes   int64    // maximum size of one file
	maxRotated int      // maximum number of rotated files; path.1 is the newest
	file       *os.File // nil if it could not be opened after a rotation
	size       int64    // bytes of complete records in the file
	torn       bool     // part of a record follows size and could not be truncated yet
}

// Open opens or creates a journal for writing. It truncates a torn tail and returns the number of bytes removed. If the file is not a
// journal, Open returns an error that wraps ErrForeign and leaves the file unchanged.
func Open(path string, maxBytes int64, maxRotated int) (j *Journal, truncated int64, err error) {
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
		return nil, 0, fmt.Errorf("audit: truncate torn record: %w", err)
	}
	return &Journal{path: path, maxBytes: maxBytes, maxRotated: maxRotated, file: file, size: size}, int64(len(content)) - size, nil
}

// recoveredSize returns the size of the file's content without a torn tail. A corrupt record inside the file is kept. The error is a
// DamageError if the file is not a journal.
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

// truncate truncates a file to a size and sets the write position to its end.
func truncate(file *os.File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return err
	}
	_, err := file.Seek(size, io.SeekStart)
	return err
}

// Write appends a record. It first rotates the file if the record would make it larger than the maximum size.
func (j *Journal) Write(r Record) error {
	frame, err := AppendFrame(nil, r)
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
	case written > 0: // the disk is full: remove the partial record
		j.torn = true
		return fmt.Errorf("audit: write record: %w", errors.Join(err, j.prepare()))
	}
	return fmt.Errorf("audit: write record: %w", err)
}

// prepare opens the file if it is not open, and truncates it after its last complete record.
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

// rotate renames the rotated files and the current file, and closes the current file. After an error the record is not written, and the
// next Write tries again.
func (j *Journal) rotate() error {
	for i := j.maxRotated; i > 0; i-- {
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

// rotatedPath returns the path of the ith rotated file, or of the journal's current file if i is 0.
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
