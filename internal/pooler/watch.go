package pooler

import (
	"errors"
	"math/rand/v2"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
	"threadsail/internal/transport"
)

// What discovery lists counts as told 6 s after it could have been heard. Whatever it was at, a pooler has called anew and has
// its answer half a second before, so long as discovery can be reached:
//
//	a watch or a call fell silent    2.5 s to notice, 1 s to the next call,   2 s to its answer   5.5 s
//	a call waited its turn in vain   2 s at most,     1.5 s to the next call, 2 s to its answer   5.5 s
//	a dial did not come up           1 s,             1.5 s to the next call, 2 s to its answer   4.5 s
//	a watch broke off, or a call was refused or given rubbish, or moved       1.5 s, then 2 s     3.5 s
//	the process has just started                      3 s to the first call,  2 s to its answer   5 s
//
// A line comes every 2 s on a watch, and a call is answered or turned down within 2 s of waiting for its turn. The waits before
// calls are as long as that allows: whoever was cut off was so with others, and hundreds that call at once turn each other away.
const (
	watchDialTimeout    = time.Second
	watchSilenceTimeout = 2500 * time.Millisecond
	maxSilenceRetry     = time.Second // and rules.AskAgain, rules.AskFirst
	watchTurnTimeout    = 2 * time.Second
	notificationDelay   = 6 * time.Second
	notificationMargin  = 500 * time.Millisecond // for the dial, and a machine that is busy

	// None may be below 0.
	_ = uint64(notificationDelay - notificationMargin - (watchSilenceTimeout + maxSilenceRetry + watchTurnTimeout))
	_ = uint64(notificationDelay - notificationMargin - (watchTurnTimeout + policy.MaxListRetryDelay + watchTurnTimeout))
	_ = uint64(notificationDelay - notificationMargin - (watchDialTimeout + policy.MaxListRetryDelay + watchTurnTimeout))
	_ = uint64(notificationDelay - notificationMargin - (policy.MaxFirstPollDelay + watchTurnTimeout))
)

// watchDescriptors is what a watch may hold: its connection, and the one that it has just left or given up to dial.
const watchDescriptors = 2

var errSilent = errors.New("discovery: silent for too long")

// connection is what a watch needs of a transport.Conn.
type connection interface {
	SetHandler(transport.Handler)
	Write([]byte)
	Close()
}

// newWatchDialer has descriptors of its own for a watch: the servers' may all be taken when a list would tell of others.
func newWatchDialer(loop *dispatch.EventLoop) func(string, func(connection, error)) func() {
	budget := transport.NewBudget(watchDescriptors)
	return func(addr string, done func(connection, error)) func() {
		return transport.Dial(loop, budget, addr, watchDialTimeout, func(c *transport.Conn, err error) { done(c, err) })
	}
}

// watcher keeps the one watch on the list service. A watch that ends is reported to the module, which asks again after a
// while.
type watcher struct {
	loop              *dispatch.EventLoop
	dial              func(addr string, done func(connection, error)) (cancel func())
	addr              string
	zoneIndexes       map[string]int
	log               func(string)
	onList            func(kind policy.ListKind, members []dispatch.Member, told time.Duration)
	revision          uint64
	pushed            bool // the service is an agent on this machine, which is never left: see push.go
	redialTimer       *dispatch.Timer
	redialDelay       time.Duration // until the next call of an agent, after another that fails
	firstMessageAt    time.Duration // when the watch under way said its first word; 0: not yet
	caughtUp          bool          // it has told a list, or had none to tell
	firstMessageLimit time.Duration // for the first word of a call
	// knownUntil is until when all that was listed is known here: the last word, or the end of a watch that had told everything until
	// then. Later than that nothing could be heard where a dial was refused or did not come up.
	knownUntil   time.Duration
	stop         func() // ends the watch under way; nil: there is none
	stream       *discovery.Stream
	silenceTimer *dispatch.Timer
	leadership   *listLeadership // decides when to call, with the fleet; nil: whenever the module asks
}

func (w *watcher) openWatch() {
	if w.leadership != nil {
		w.leadership.requestWatch()
	} else {
		w.open()
	}
}

// open calls the list service, unless a watch is under way.
func (w *watcher) open() {
	if w.stop != nil {
		return
	}
	cancel := w.dial(w.addr, func(c connection, err error) {
		if err != nil {
			if !w.pushed && !errors.Is(err, transport.ErrNoDescriptor) {
				w.knownUntil = w.loop.Now()
			}
			w.failed(err)
			return
		}
		w.stream, w.caughtUp = &discovery.Stream{}, false
		w.firstMessageAt = 0
		w.stop = c.Close
		c.SetHandler(w)
		c.Write(discovery.WatchRequest(w.addr, w.revision))
		w.startSilenceTimer(w.firstMessageTimeout())
	})
	w.stop = cancel
	w.startSilenceTimer(watchDialTimeout + watchSilenceTimeout)
}

// setAddress turns to another list service. Its revisions are its own, so it is asked for the whole list; what the old one
// still has to say is not heard.
func (w *watcher) setAddress(addr string) {
	if addr == w.addr {
		return
	}
	open := w.stop != nil
	w.markDisconnected()
	w.disconnect()
	w.addr, w.revision, w.firstMessageLimit = addr, 0, 0
	switch {
	case w.leadership == nil && !w.pushed: // all are told to move at once
		w.onList(policy.ListFailed, nil, w.loop.Now())
	case open || w.leadership == nil: // else the holder's word tells what the new one lists
		w.open()
	}
}

// disconnect ends the watch under way, if any, and tells nobody.
func (w *watcher) disconnect() {
	w.silenceTimer.Stop()
	w.redialTimer.Stop()
	if w.stop != nil {
		w.stop()
	}
	w.stop, w.caughtUp = nil, false
}

// startSilenceTimer waits for the next word.
func (w *watcher) startSilenceTimer(d time.Duration) {
	w.silenceTimer.Stop()
	w.silenceTimer = w.loop.After(d, func() { w.failed(errSilent) })
}

// Closed ends a watch that its service ended: what came before has been heard.
func (w *watcher) Closed(err error) {
	w.markDisconnected()
	w.failed(err)
}

func (w *watcher) failed(err error) {
	w.disconnect()
	w.log("discovery: " + err.Error())
	if w.pushed {
		if err == errSilent {
			w.revision = 0 // with nothing new to tell, an agent's first word could be an empty line, 2 s later
		}
		w.scheduleRedial()
		return
	}
	if err == errSilent && w.leadership == nil { // noticed late: less time is left than the module takes
		w.redialTimer = w.loop.After(rand.N(maxSilenceRetry), w.open)
		return
	}
	if w.leadership != nil {
		w.leadership.watchFailed()
	}
	w.onList(policy.ListFailed, nil, w.loop.Now())
}

func (w *watcher) Data(at time.Duration, b []byte) {
	begun, empty := w.stream.Begun(), w.stream.Empty()
	lists, err := w.stream.Feed(b)
	if w.firstMessageAt == 0 {
		w.firstMessageAt = at
		w.startSilenceTimer(watchSilenceTimeout)
	}
	// Only what is whole is a sign of life: a list that has begun is owed, and a whole list is where none is known. An empty line
	// tells that nothing is.
	word := len(lists) > 0 || w.stream.Empty() > empty && (w.revision > 0 || w.caughtUp)
	if word {
		w.startSilenceTimer(watchSilenceTimeout)
	}
	w.caughtUp = w.caughtUp || word && !begun && at >= w.firstMessageAt+catchUpTime
	told := w.notifiedAt(at)
	for _, l := range lists {
		kind := policy.ListDelta
		if l.Complete {
			kind = policy.ListFull
		}
		w.revision = l.Revision
		w.redialDelay, w.caughtUp = 0, true
		w.onList(kind, listedMembers(l, w.zoneIndexes), told)
		if w.leadership != nil {
			w.leadership.receiveOwnList(l)
		}
	}
	if w.caughtUp {
		w.knownUntil, w.firstMessageLimit = at, 0
	}
	if err != nil {
		if len(lists) == 0 {
			w.revision = 0 // it may be the list after this one that can't be read: ask for all of it
		}
		w.failed(err)
	}
}

// listedMembers puts listed entries into the core's words.
func listedMembers(l discovery.List, zones map[string]int) []dispatch.Member {
	out := make([]dispatch.Member, len(l.Members))
	for i, m := range l.Members {
		zone, ok := zones[m.Zone]
		if !ok {
			zone = -1 // none of ours
		}
		out[i] = dispatch.Member{Name: m.Name, Addr: m.Addr, Zone: zone, Group: m.Group, State: m.State,
			Primary: m.Primary, Started: m.Started}
	}
	return out
}
