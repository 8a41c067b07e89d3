// Package watchfile reports when the contents of a file change, however the file is replaced: renamed over, written in place with the same
// size and time, deleted and made again, or reached by a symbolic link that is changed. The kernel reports changes where it can; the file
// is read now and then all the same, as some mounts report none. Contents are delivered once two reads in a row have returned the same.
// Whether contents that were stable for that long are complete is for the receiver to judge.
package watchfile

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"
)

// Descriptors is how many a Watcher may hold: those of the kernel's queue of events, and that of the file while it is read.
const Descriptors = 3

const (
	eventDelay    = 2 * time.Millisecond  // events that come together lead to one check
	rereadDelay   = time.Millisecond      // between the two reads of a check
	unstableDelay = 20 * time.Millisecond // until the next check, if two reads have differed
)

// State is what a read of a file has returned.
type State struct {
	Text        []byte
	ContentHash uint64 // of Text, never 0; 0: the file can't be read
	Err         error
}

// Options tell which file to watch, and how.
type Options struct {
	Path         string
	PollInterval time.Duration // between two checks that no event has caused
	MaxBytes     int64         // a larger file can't be read
	NoEvents     bool          // check at intervals only
	Log          func(string)
}

// Watcher watches one file. It has a goroutine of its own, which begins with Watch and ends with Close.
type Watcher struct {
	options      Options
	deliver      func(State)
	notifier     *fsnotify.Watcher // nil: there are no events
	linkedFolder string            // in which the file is that the path links to; empty: the path's own
	checks       chan struct{}
	closing      chan struct{}
	done         sync.WaitGroup
	last         State
}

// Read reads a file once. Folders, pipes and whatever else is no regular file are an error, and do not block.
func Read(path string, maxBytes int64) State {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return State{Err: err}
	}
	defer func() { _ = f.Close() }() // only read
	info, err := f.Stat()
	if err != nil {
		return State{Err: err}
	}
	if !info.Mode().IsRegular() {
		return State{Err: fmt.Errorf("%s is no regular file", path)}
	}
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = fmt.Errorf("%s holds more than %d bytes", path, maxBytes)
	}
	if err != nil {
		return State{Err: err}
	}
	return State{Text: text, ContentHash: max(xxhash.Sum64(text), 1)}
}

// maxReads is how often ReadStable reads a file again.
const maxReads = 50

// ReadStable reads a file until two reads in a row, an interval apart, return the same. After some reads it gives up.
func ReadStable(path string, maxBytes int64, interval time.Duration) State {
	state := Read(path, maxBytes)
	for range maxReads {
		time.Sleep(interval)
		next := Read(path, maxBytes)
		if sameState(state, next) {
			return next
		}
		state = next
	}
	return State{Err: fmt.Errorf("%s changes all the time", path)}
}

func sameState(a, b State) bool {
	return a.ContentHash == b.ContentHash && (a.Err == nil) == (b.Err == nil) && (a.Err == nil || a.Err.Error() == b.Err.Error())
}

// Watch begins to watch. known is the state that the caller knows already: only what differs from it is delivered, on the watcher's
// goroutine.
func Watch(opt Options, known State, deliver func(State)) *Watcher {
	w := &Watcher{options: opt, deliver: deliver, checks: make(chan struct{}, 1), closing: make(chan struct{}), last: known}
	if !opt.NoEvents {
		fs, err := fsnotify.NewWatcher()
		if err != nil {
			opt.Log(fmt.Sprintf("%s: no events, it is looked at every %v: %v", opt.Path, opt.PollInterval, err))
		}
		w.notifier = fs
	}
	w.watchFolders()
	w.done.Add(1)
	go w.run()
	w.Check() // the file may have changed since it was read
	return w
}

// Check makes the watcher check the file soon. It does not wait.
func (w *Watcher) Check() {
	select {
	case w.checks <- struct{}{}:
	default:
	}
}

// Close ends the watch, and returns once nothing is delivered any more.
func (w *Watcher) Close() {
	close(w.closing)
	w.done.Wait()
	if w.notifier != nil {
		// The kernel may take seconds for it on a busy machine, and a process that is shutting down has less time.
		go func() { _ = w.notifier.Close() }()
	}
}

// watchFolders watches the folder of the path and, if the path is a link, that of the linked file: replacing a file or a link is an event
// of its folder. A folder that was made anew is watched again.
func (w *Watcher) watchFolders() {
	if w.notifier == nil {
		return
	}
	dir := filepath.Dir(w.options.Path)
	_ = w.notifier.Add(dir) // without the folder, checks at intervals go on
	target := ""
	if resolved, err := filepath.EvalSymlinks(w.options.Path); err == nil && filepath.Dir(resolved) != dir {
		target = filepath.Dir(resolved)
	}
	if target != w.linkedFolder && w.linkedFolder != "" {
		_ = w.notifier.Remove(w.linkedFolder)
	}
	if w.linkedFolder = target; target != "" {
		_ = w.notifier.Add(target)
	}
}

// run checks the file after events, at intervals and when Check is called, until the watcher is closed.
func (w *Watcher) run() {
	defer w.done.Done()
	var events chan fsnotify.Event
	var failures chan error
	if w.notifier != nil {
		events, failures = w.notifier.Events, w.notifier.Errors
	}
	polling := time.NewTicker(w.options.PollInterval)
	defer polling.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	scheduled := false
	checkAfter := func(d time.Duration) {
		if !scheduled {
			scheduled = true
			timer.Reset(d)
		}
	}
	for {
		select {
		case <-w.closing:
			return
		case <-events:
			checkAfter(eventDelay)
		case <-failures: //nolint:errcheck // whatever has failed, events may be lost
			checkAfter(eventDelay)
		case <-w.checks:
			checkAfter(0)
		case <-polling.C:
			w.watchFolders()
			checkAfter(0)
		case <-timer.C:
			scheduled = false
			if stable := w.deliverChange(); !stable {
				checkAfter(unstableDelay)
			}
		}
	}
}

// deliverChange delivers the file's state if it has changed. It returns false if the file is being written.
func (w *Watcher) deliverChange() (stable bool) {
	state := Read(w.options.Path, w.options.MaxBytes)
	if sameState(state, w.last) {
		return true
	}
	time.Sleep(rereadDelay)
	if again := Read(w.options.Path, w.options.MaxBytes); !sameState(state, again) {
		return false
	}
	w.last = State{ContentHash: state.ContentHash, Err: state.Err} // the hash is enough to compare
	w.watchFolders()
	w.deliver(state)
	return true
}
