package audit

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// Journal is a pooler's journal on disk. It is not safe for use by several goroutines. What holds: a write that fails leaves no
// part of its record, and the next one is tried on its own, whatever had failed.
type Journal struct {
	path      string
	maxBytes  int64    // bytes of one file
	keptFiles int      // older files kept beside it: path.1 is the youngest
	file      *os.File // nil: it could not be opened after it was put aside
	size      int64
	torn      bool // half a record is behind size, and could not be cut off
}

// Open opens a journal for writing, or makes it. A torn tail is cut; cut tells how many bytes that was. A file that is no
// journal at all is an error, and stays as it is.
func Open(path string, most int64, keep int) (j *Journal, cut int64, err error) {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, 0, err
	}
	whole := int64(len(text))
	if _, problems := Parse(path, text); len(problems) > 0 {
		switch last := problems[len(problems)-1]; {
		case last.Offset == 0 && errors.Is(last.Err, ErrForeign):
			return nil, 0, last
		case !errors.Is(last.Err, ErrCorrupt) || last.Offset == 0: // a corrupt record inside stays for the reader to tell of
			whole = last.Offset
		}
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, 0, err
	}
	if err = file.Truncate(whole); err == nil {
		_, err = file.Seek(whole, 0)
	}
	if err != nil {
		_ = file.Close()
		return nil, 0, err
	}
	return &Journal{path: path, maxBytes: most, keptFiles: keep, file: file, size: whole}, int64(len(text)) - whole, nil
}

// Write appends a record with one system call, so that a crash of the process leaves it whole or not at all; a crash of the
// machine may tear it. A full file is put aside first.
func (j *Journal) Write(r Record) error {
	b, err := Append(nil, r)
	if err != nil {
		return err
	}
	if j.size > 0 && j.size+int64(len(b)) > j.maxBytes {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	if err := j.prepare(); err != nil {
		return err
	}
	n, err := j.file.Write(b)
	if err != nil && n > 0 { // a full disk: no half record stays
		j.torn = true
		return errors.Join(err, j.prepare())
	}
	j.size += int64(n)
	return err
}

// prepare has the file open and ending behind its last whole record.
func (j *Journal) prepare() (err error) {
	if j.file == nil {
		if j.file, err = os.OpenFile(j.path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600); err != nil {
			j.file = nil
			return err
		}
		j.size, j.torn = 0, false
	}
	if j.torn {
		if err := j.file.Truncate(j.size); err != nil {
			return err
		}
		if _, err := j.file.Seek(j.size, 0); err != nil {
			return err
		}
		j.torn = false
	}
	return nil
}

// rotate puts the file aside. Where that fails the act is not written, and the next one tries again.
func (j *Journal) rotate() error {
	for i := j.keptFiles; i > 0; i-- {
		from := j.path
		if i > 1 {
			from = fmt.Sprintf("%s.%d", j.path, i-1)
		}
		if err := os.Rename(from, fmt.Sprintf("%s.%d", j.path, i)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	err := j.file.Close()
	j.file, j.size = nil, 0
	return err
}

// Close closes the file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}
