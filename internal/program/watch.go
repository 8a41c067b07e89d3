package program

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"threadsail/internal/protocol/discovery"
	"threadsail/internal/routing"
	"threadsail/internal/transport"
	"threadsail/rules"
)

// While a watch lives a line comes at least every 2 s, and a call is answered or turned down within 2 s of waiting for its
// turn. What a watch that has fallen silent misses counts as told 6 s later: it is given up after 2.5 s, the next call begins
// within 1 s and is answered within 2 s, half a second before.
const (
	watchDial    = time.Second
	watchSilence = 2500 * time.Millisecond
	watchAgain   = time.Second
	missedAfter  = 6 * time.Second
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
	lost   bool          // the last watch fell silent, and no other has caught up since
	allow  time.Duration // for the first word of a call
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
		w.hear(w.firstWord())
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

// broken tells that a watch is to be opened anew at once, spread a little, as others may have been cut off with it: it fell
// silent, or did so before and the service can't be reached. A call that is turned down is the module's to repeat, for each
// costs the service a turn; one that never reached it does not.
func broken(err error, before bool) bool {
	var e net.Error
	return err == errSilent || before && errors.As(err, &e) && e.Timeout()
}

func (w *watcher) failed(err error) {
	w.shut()
	w.log("discovery: " + err.Error())
	if w.pushed {
		if err == errSilent {
			w.since = 0 // with nothing new to tell, an agent's first word could be an empty line, 2 s later
		}
		w.callAgain()
		return
	}
	if w.lost = w.duty == nil && broken(err, w.lost); w.lost {
		w.again = w.loop.After(rand.N(watchAgain), w.open)
		return
	}
	if w.duty != nil {
		w.duty.failed()
	}
	w.list(rules.ListFailed, nil, w.loop.Now())
}

func (w *watcher) Data(at time.Duration, b []byte) {
	lists, err := w.stream.Feed(b)
	told := w.told(at)
	if len(lists) > 0 || !w.stream.Begun() { // a list that has begun is owed whole
		w.hear(watchSilence)
	}
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
		w.heard, w.lost, w.allow = at, false, 0
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
