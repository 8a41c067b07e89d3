// Package watchfile tells when the contents of a file change, however it is replaced: renamed over, written in place with
// the same size and time, deleted and made again, reached by a symbolic link that is swapped. It hears of changes from the
// kernel where it can, and looks now and then all the same: some mounts tell nothing. What it delivers it has read twice,
// and both times the same; whether a text that stood still for so long is whole is the reader's to judge.
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

// Descriptors is how many a Watcher may hold: the kernel's queue of events, and the file under way.
const Descriptors = 3

const (
	eventDelay    = 2 * time.Millisecond  // events that come together are looked after together
	rereadDelay   = time.Millisecond      // two reads
	unstableDelay = 20 * time.Millisecond // until the next look, where two reads have differed
)

// State is what a file holds.
type State struct {
	Text        []byte
	ContentHash uint64 // a hash of Text, never 0; 0: it can't be read
	Err         error
}

// Options say what to watch.
type Options struct {
	Path         string
	PollInterval time.Duration // how often to look without being told
	MaxBytes     int64         // bytes; a larger file can't be read
	NoEvents     bool          // look only
	Log          func(string)
}

// Watcher watches one file. Its goroutine is its own, and ends with Close.
type Watcher struct {
	options      Options
	deliver      func(State)
	notifier     *fsnotify.Watcher // nil: no events are to be had
	linkedFolder string            // the folder that the link leads to; empty: that of the path itself
	checks       chan struct{}
	closing      chan struct{}
	done         sync.WaitGroup
	last         State
}

// Read reads a file once. Folders, pipes and other things that are no file are an error, and are not waited for.
func Read(path string, most int64) State {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return State{Err: err}
	}
	defer func() { _ = f.Close() }() // only read
	if info, err := f.Stat(); err != nil {
		return State{Err: err}
	} else if !info.Mode().IsRegular() {
		return State{Err: fmt.Errorf("%s is no regular file", path)}
	}
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(text)) > most {
		err = fmt.Errorf("%s holds more than %d bytes", path, most)
	}
	if err != nil {
		return State{Err: err}
	}
	return State{Text: text, ContentHash: max(xxhash.Sum64(text), 1)}
}

// ReadStable reads a file until two reads in a row, so far apart, give the same; after some tries it gives up.
func ReadStable(path string, most int64, apart time.Duration) State {
	s := Read(path, most)
	for range 50 {
		time.Sleep(apart)
		next := Read(path, most)
		if sameState(s, next) {
			return next
		}
		s = next
	}
	return State{Err: fmt.Errorf("%s changes all the time", path)}
}

func sameState(a, b State) bool {
	return a.ContentHash == b.ContentHash && (a.Err == nil) == (b.Err == nil) && (a.Err == nil || a.Err.Error() == b.Err.Error())
}

// Watch begins to watch. known is what the caller has read already: only what differs from it is delivered, on the
// watcher's own goroutine.
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
	w.Check() // it may have changed since it was read
	return w
}

// Check has the file looked at soon.
func (w *Watcher) Check() {
	select {
	case w.checks <- struct{}{}:
	default:
	}
}

// Close ends the watch, and waits until nothing is delivered any more.
func (w *Watcher) Close() {
	close(w.closing)
	w.done.Wait()
	if w.notifier != nil {
		// The kernel takes seconds for it on a busy machine, and a process that ends here has less.
		go func() { _ = w.notifier.Close() }()
	}
}

// watchFolders watches the folder of the path and, behind a link, that of its target: what replaces a file, or a link, is an
// event of the folder. A folder that was made anew is watched again.
func (w *Watcher) watchFolders() {
	if w.notifier == nil {
		return
	}
	dir := filepath.Dir(w.options.Path)
	_ = w.notifier.Add(dir) // a folder that is not there yet: the looks go on
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

func (w *Watcher) run() {
	defer w.done.Done()
	var events chan fsnotify.Event
	var failures chan error
	if w.notifier != nil {
		events, failures = w.notifier.Events, w.notifier.Errors
	}
	poll := time.NewTicker(w.options.PollInterval)
	defer poll.Stop()
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	waiting := false
	soon := func(d time.Duration) {
		if !waiting {
			waiting = true
			due.Reset(d)
		}
	}
	for {
		select {
		case <-w.closing:
			return
		case <-events:
			soon(eventDelay)
		case <-failures: //nolint:errcheck // whatever it is, events may have been lost
			soon(eventDelay)
		case <-w.checks:
			soon(0)
		case <-poll.C:
			w.watchFolders()
			soon(0)
		case <-due.C:
			if waiting = false; !w.deliverChange() {
				soon(unstableDelay)
			}
		}
	}
}

// deliverChange delivers what the file holds if that is new; false: it is being written.
func (w *Watcher) deliverChange() (steady bool) {
	s := Read(w.options.Path, w.options.MaxBytes)
	if sameState(s, w.last) {
		return true
	}
	time.Sleep(rereadDelay)
	if again := Read(w.options.Path, w.options.MaxBytes); !sameState(s, again) {
		return false
	}
	w.last = State{ContentHash: s.ContentHash, Err: s.Err} // the hash is enough to compare
	w.watchFolders()
	w.deliver(s)
	return true
}
