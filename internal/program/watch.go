package program

import (
	"errors"
	"time"

	"threadsail/internal/protocol/discovery"
	"threadsail/internal/routing"
	"threadsail/internal/transport"
	"threadsail/rules"
)

// The list service gives up a call after 2 s, and while a watch lives a line comes at least every 2 s. What it has
// to tell counts as told 6 s later, so silence must be noticed well before.
const (
	watchDial    = time.Second
	watchSilence = 3 * time.Second
)

var errSilent = errors.New("discovery: silent for too long")

// watcher keeps the one watch on the list service. A watch that ends is reported to the module, which asks again
// with backoff.
type watcher struct {
	loop   *routing.Loop
	budget *transport.Budget
	addr   string
	zones  map[string]int
	log    func(string)
	list   func(kind rules.ListKind, members []routing.Member, told time.Duration)
	since  uint64
	pushed bool // the service is an agent on this machine, which is never left: see push.go
	again  *routing.Timer
	wait   time.Duration // until the next call of an agent, after another that fails
	spoke  time.Duration // when the watch under way said its first word; 0: not yet
	fresh  bool          // it has told a list, or had none to tell
	// heard is when the last word came, or when a watch ended that had told everything until then.
	heard  time.Duration
	stop   func() // ends the watch under way; nil: there is none
	c      *transport.Conn
	stream *discovery.Stream
	silent *routing.Timer
	duty   *listDuty // decides when to call, with the fleet; nil: whenever the module asks
}

func (w *watcher) watch() {
	if w.duty != nil {
		w.duty.want()
	} else {
		w.open()
	}
}

// open calls the list service, unless a watch is under way.
func (w *watcher) open() {
	if w.stop != nil {
		return
	}
	cancel := transport.Dial(w.loop, w.budget, w.addr, watchDial, func(c *transport.Conn, err error) {
		if err != nil {
			w.failed(err)
			return
		}
		w.c, w.stream, w.fresh = c, &discovery.Stream{}, false
		w.spoke = 0
		w.stop = c.Close
		c.SetHandler(w)
		c.Write(discovery.WatchRequest(w.addr, w.since))
	})
	w.stop = cancel
	w.hear(watchDial + watchSilence)
}

// move turns to another list service. Its revisions are its own, so it is asked for the whole list; what the old one
// still has to say is not heard.
func (w *watcher) move(addr string) {
	if addr == w.addr {
		return
	}
	open := w.stop != nil || w.duty == nil // else the holder's word tells what the new one lists
	w.ended()
	w.shut()
	w.addr, w.since = addr, 0
	if open {
		w.open()
	}
}

// shut ends the watch under way, if any, and tells nobody.
func (w *watcher) shut() {
	w.silent.Stop()
	w.again.Stop()
	if w.stop != nil {
		w.stop()
	}
	w.stop, w.fresh = nil, false
}

// hear waits for the next word.
func (w *watcher) hear(d time.Duration) {
	w.silent.Stop()
	w.silent = w.loop.After(d, func() { w.failed(errSilent) })
}

// Closed ends a watch that its service ended: what came before has been heard.
func (w *watcher) Closed(err error) {
	w.ended()
	w.failed(err)
}

func (w *watcher) failed(err error) {
	w.shut()
	w.log("discovery: " + err.Error())
	if w.pushed {
		w.callAgain()
		return
	}
	if w.duty != nil {
		w.duty.failed()
	}
	w.list(rules.ListFailed, nil, w.loop.Now())
}

func (w *watcher) Data(at time.Duration, b []byte) {
	w.hear(watchSilence)
	told := w.told(at)
	lists, err := w.stream.Feed(b)
	for _, l := range lists {
		kind := rules.ListDelta
		if l.Complete {
			kind = rules.ListFull
		}
		w.since = l.Revision
		w.wait, w.fresh = 0, true
		w.list(kind, members(l, w.zones), told)
		if w.duty != nil {
			w.duty.own(l)
		}
	}
	if w.fresh {
		w.heard = at
	}
	if err != nil {
		if len(lists) == 0 {
			w.since = 0 // it may be the list after this one that can't be read: ask for all of it
		}
		w.failed(err)
	}
}

// members puts listed entries into the core's words.
func members(l discovery.List, zones map[string]int) []routing.Member {
	out := make([]routing.Member, len(l.Members))
	for i, m := range l.Members {
		zone, ok := zones[m.Zone]
		if !ok {
			zone = -1 // none of ours
		}
		out[i] = routing.Member{Name: m.Name, Addr: m.Addr, Zone: zone, Group: m.Group, State: m.State,
			Primary: m.Primary, Started: m.Started}
	}
	return out
}
