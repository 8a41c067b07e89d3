package transport

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

const (
	// watchedEvents are reported once each time that a descriptor becomes ready. The owner must therefore read and write until the
	// kernel has no more bytes or room.
	watchedEvents = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET

	inputEvents  = unix.EPOLLIN | hangupEvents
	hangupEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

	pollBatch = 128 // events that the poller takes from the kernel at once
)

// sharedPoller is the poller of the process.
var sharedPoller poller

// poller waits on one goroutine, which lives as long as the process, until watched descriptors are ready.
type poller struct {
	once    sync.Once
	epollFD int
	err     error // of the start

	mu      sync.Mutex       // guards the fields below
	watches map[int32]*watch // by descriptor
	lastID  int32            // of a watch
}

// watch is a descriptor that the poller watches for its owner.
type watch struct {
	fd      int
	id      int32 // tells the watches of one descriptor number apart
	loop    Loop
	ready   func(events uint32) // called on the loop
	pending atomic.Uint32       // events that the loop has not handled yet
}

func (p *poller) start() {
	p.watches = map[int32]*watch{}
	p.epollFD, p.err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if p.err == nil {
		go p.run()
	}
}

// watch has ready called on the loop whenever fd becomes ready, until unwatch. The caller closes fd after unwatch.
func (p *poller) watch(fd int, loop Loop, ready func(events uint32)) (*watch, error) {
	p.once.Do(p.start)
	if p.err != nil {
		return nil, fmt.Errorf("transport: create the poller: %w", p.err)
	}
	w := &watch{fd: fd, loop: loop, ready: ready}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	w.id = p.lastID
	event := unix.EpollEvent{Events: watchedEvents, Fd: int32(fd), Pad: w.id}
	if err := unix.EpollCtl(p.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return nil, fmt.Errorf("transport: watch a descriptor: %w", err)
	}
	p.watches[int32(fd)] = w
	return w, nil
}

// unwatch ends a watch. An event that has been posted to the loop already may still be reported.
func (p *poller) unwatch(w *watch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watches, int32(w.fd))
	_ = unix.EpollCtl(p.epollFD, unix.EPOLL_CTL_DEL, w.fd, nil) // fails only for a descriptor that is not watched
}

// run posts events to the loops of their descriptors.
func (p *poller) run() {
	var events [pollBatch]unix.EpollEvent
	for {
		n, err := unix.EpollWait(p.epollFD, events[:], -1)
		if err != nil { // EINTR; no other error can occur here
			continue
		}
		p.post(events[:n])
		runtime.Gosched() // the loops run before this thread blocks in the kernel
	}
}

// post posts events to the loops of their descriptors.
func (p *poller) post(events []unix.EpollEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		if w := p.watches[event.Fd]; w != nil && w.id == event.Pad {
			w.post(event.Events)
		}
	}
}

// post adds events to those that wait for the loop.
func (w *watch) post(events uint32) {
	if w.pending.Or(events) == 0 {
		w.loop.Post(func() { w.ready(w.pending.Swap(0)) })
	}
}
