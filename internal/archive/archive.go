// Package archive keeps the generations of a server list in a folder, one file each, so that a pooler can start from the last one that
// was in force, and its operators can return to an earlier one. A file is written atomically, and is read only if its digest matches.
package archive

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/renameio/v2"

	"threadsail/internal/serverlist"
)

const (
	filePrefix   = "generation-"
	fileSuffix   = ".json"
	fileVersion  = 1
	maxFileBytes = 16 << 20
	dirMode      = 0o750
	fileMode     = 0o640
)

// What makes a file unreadable.
var (
	errDigest     = errors.New("the digest does not fit")
	errListDigest = errors.New("the list's digest does not fit")
)

// Archive is one folder. Only one pooler may write to it.
type Archive struct {
	dir            string
	maxGenerations int
}

// fileForm is the form of a file.
type fileForm struct {
	Version    int             `json:"version"`
	SHA256     string          `json:"sha256"` // of Generation, hexadecimal
	Generation json.RawMessage `json:"generation"`
}

// Open opens a folder, and makes it if it is not there. It keeps at most so many generations, and at least one.
func Open(dir string, maxGenerations int) (*Archive, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	return &Archive{dir: dir, maxGenerations: max(maxGenerations, 1)}, nil
}

// OpenExisting opens the folder of a frontend below a pooler's state folder, to read it.
func OpenExisting(stateDir, frontend string) (*Archive, error) {
	dir := filepath.Join(stateDir, frontend)
	if info, err := os.Stat(dir); err != nil {
		return nil, err
	} else if !info.IsDir() {
		return nil, fmt.Errorf("%s is no folder", dir)
	}
	return &Archive{dir: dir, maxGenerations: 1}, nil
}

func sha256Hex(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:])
}

// path returns the path of a generation's file.
func (a *Archive) path(number uint64) string {
	return filepath.Join(a.dir, fmt.Sprintf("%s%020d%s", filePrefix, number, fileSuffix))
}

// Put writes a generation, and then removes the oldest ones that are too many.
func (a *Archive) Put(g *serverlist.Generation) error {
	text, err := json.Marshal(g)
	if err != nil {
		return err
	}
	text, err = json.Marshal(fileForm{fileVersion, sha256Hex(text), text})
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(a.path(g.Number), text, fileMode); err != nil {
		return err
	}
	names, err := a.fileNames()
	if err != nil {
		return err
	}
	for len(names) > a.maxGenerations {
		if err := os.Remove(filepath.Join(a.dir, names[0])); err != nil {
			return err
		}
		names = names[1:]
	}
	return nil
}

// fileNames returns the names of the files, the oldest generation first.
func (a *Archive) fileNames() ([]string, error) {
	entries, err := os.ReadDir(a.dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), filePrefix) && strings.HasSuffix(e.Name(), fileSuffix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Load returns the generations whose files can be read, the oldest first. The error joins what is wrong with each of the other files; the
// generations are valid all the same.
func (a *Archive) Load() ([]*serverlist.Generation, error) {
	names, err := a.fileNames()
	if err != nil {
		return nil, err
	}
	var generations []*serverlist.Generation
	var problems []error
	for _, name := range names {
		g, err := readGeneration(filepath.Join(a.dir, name))
		switch {
		case err != nil:
			problems = append(problems, fmt.Errorf("%s: %w", name, err))
		case len(generations) > 0 && g.Number <= generations[len(generations)-1].Number:
			problems = append(problems, fmt.Errorf("%s: holds generation %d, which is not the next one", name, g.Number))
		default:
			generations = append(generations, g)
		}
	}
	return generations, errors.Join(problems...)
}

// readGeneration reads one file and checks its digests.
func readGeneration(path string) (*serverlist.Generation, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("holds more than %d bytes", maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file fileForm
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if file.Version != fileVersion {
		return nil, fmt.Errorf("version %d is unknown", file.Version)
	}
	if sha256Hex(file.Generation) != file.SHA256 {
		return nil, errDigest
	}
	g := &serverlist.Generation{}
	if err := json.Unmarshal(file.Generation, g); err != nil {
		return nil, err
	}
	if g.Digest != serverlist.Digest(g.Servers) {
		return nil, errListDigest
	}
	return g, nil
}
