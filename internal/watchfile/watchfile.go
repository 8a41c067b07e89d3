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
	gather   = 2 * time.Millisecond  // events that come together are looked after together
	between  = time.Millisecond      // two reads
	unsteady = 20 * time.Millisecond // until the next look, where two reads have differed
)

// State is what a file holds.
type State struct {
	Text    []byte
	Content uint64 // a hash of Text, never 0; 0: it can't be read
	Err     error
}

// Options say what to watch.
type Options struct {
	Path     string
	Poll     time.Duration // how often to look without being told
	Max      int64         // bytes; a larger file can't be read
	NoEvents bool          // look only
	Log      func(string)
}

// Watcher watches one file. Its goroutine is its own, and ends with Close.
type Watcher struct {
	opt     Options
	deliver func(State)
	fs      *fsnotify.Watcher // nil: no events are to be had
	target  string            // the folder that the link leads to; empty: that of the path itself
	look    chan struct{}
	quit    chan struct{}
	done    sync.WaitGroup
	last    State
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
	return State{Text: text, Content: max(xxhash.Sum64(text), 1)}
}

// Steady reads a file until two reads in a row, so far apart, give the same; after some tries it gives up.
func Steady(path string, most int64, apart time.Duration) State {
	s := Read(path, most)
	for range 50 {
		time.Sleep(apart)
		next := Read(path, most)
		if same(s, next) {
			return next
		}
		s = next
	}
	return State{Err: fmt.Errorf("%s changes all the time", path)}
}

func same(a, b State) bool {
	return a.Content == b.Content && (a.Err == nil) == (b.Err == nil) && (a.Err == nil || a.Err.Error() == b.Err.Error())
}

// Watch begins to watch. known is what the caller has read already: only what differs from it is delivered, on the
// watcher's own goroutine.
func Watch(opt Options, known State, deliver func(State)) *Watcher {
	w := &Watcher{opt: opt, deliver: deliver, look: make(chan struct{}, 1), quit: make(chan struct{}), last: known}
	if !opt.NoEvents {
		fs, err := fsnotify.NewWatcher()
		if err != nil {
			opt.Log(fmt.Sprintf("%s: no events, it is looked at every %v: %v", opt.Path, opt.Poll, err))
		}
		w.fs = fs
	}
	w.follow()
	w.done.Add(1)
	go w.run()
	w.Look() // it may have changed since it was read
	return w
}

// Look has the file looked at soon.
func (w *Watcher) Look() {
	select {
	case w.look <- struct{}{}:
	default:
	}
}

// Close ends the watch, and waits until nothing is delivered any more.
func (w *Watcher) Close() {
	close(w.quit)
	w.done.Wait()
	if w.fs != nil {
		// The kernel takes seconds for it on a busy machine, and a process that ends here has less.
		go func() { _ = w.fs.Close() }()
	}
}

// follow watches the folder of the path and, behind a link, that of its target: what replaces a file, or a link, is an
// event of the folder. A folder that was made anew is watched again.
func (w *Watcher) follow() {
	if w.fs == nil {
		return
	}
	dir := filepath.Dir(w.opt.Path)
	_ = w.fs.Add(dir) // a folder that is not there yet: the looks go on
	target := ""
	if resolved, err := filepath.EvalSymlinks(w.opt.Path); err == nil && filepath.Dir(resolved) != dir {
		target = filepath.Dir(resolved)
	}
	if target != w.target && w.target != "" {
		_ = w.fs.Remove(w.target)
	}
	if w.target = target; target != "" {
		_ = w.fs.Add(target)
	}
}

func (w *Watcher) run() {
	defer w.done.Done()
	var events chan fsnotify.Event
	var failures chan error
	if w.fs != nil {
		events, failures = w.fs.Events, w.fs.Errors
	}
	poll := time.NewTicker(w.opt.Poll)
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
		case <-w.quit:
			return
		case <-events:
			soon(gather)
		case <-failures: //nolint:errcheck // whatever it is, events may have been lost
			soon(gather)
		case <-w.look:
			soon(0)
		case <-poll.C:
			w.follow()
			soon(0)
		case <-due.C:
			if waiting = false; !w.take() {
				soon(unsteady)
			}
		}
	}
}

// take delivers what the file holds if that is new; false: it is being written.
func (w *Watcher) take() (steady bool) {
	s := Read(w.opt.Path, w.opt.Max)
	if same(s, w.last) {
		return true
	}
	time.Sleep(between)
	if again := Read(w.opt.Path, w.opt.Max); !same(s, again) {
		return false
	}
	w.last = State{Content: s.Content, Err: s.Err} // the hash is enough to compare
	w.follow()
	w.deliver(s)
	return true
}
