package pooler

import (
	"errors"
	"math/rand/v2"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
	"threadsail/internal/transport"
)

// The times of a watch. What the list service lists counts as notified notificationDelay after the pooler could have heard of it.
// Whatever it was doing, a pooler has called again and has its answer half a second before that, as long as the service can be
// reached:
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
	maxSilenceRetry     = time.Second // and policy.AskAgain, policy.AskFirst
	watchTurnTimeout    = 2 * time.Second
	notificationDelay   = 6 * time.Second
	notificationMargin  = 500 * time.Millisecond // for the dial, and a machine that is busy

	// None may be below 0.
	_ = uint64(notificationDelay - notificationMargin - (watchSilenceTimeout + maxSilenceRetry + watchTurnTimeout))
	_ = uint64(notificationDelay - notificationMargin - (watchTurnTimeout + policy.MaxListRetryDelay + watchTurnTimeout))
	_ = uint64(notificationDelay - notificationMargin - (watchDialTimeout + policy.MaxListRetryDelay + watchTurnTimeout))
	_ = uint64(notificationDelay - notificationMargin - (policy.MaxFirstPollDelay + watchTurnTimeout))
)

// watchDescriptors is how many descriptors a watch may hold: its connection, and the one that it has just closed or stopped dialling.
const watchDescriptors = 2

// errSilent tells that the list service has sent nothing for too long.
var errSilent = errors.New("discovery: silent for too long")

// connection is what a watch needs of a transport.Conn.
type connection interface {
	SetHandler(transport.Handler)
	Write([]byte)
	Close()
}

// watchDialFunc dials a list service. done is called once on the loop, unless the returned function has cancelled the dial before.
type watchDialFunc func(addr string, done func(connection, error)) (cancel func())

// newWatchDialer returns a dial function with descriptors of its own: those for servers may all be taken when a list would name
// other servers.
func newWatchDialer(loop *dispatch.EventLoop) watchDialFunc {
	budget := transport.NewBudget(watchDescriptors)
	return func(addr string, done func(connection, error)) func() {
		return transport.Dial(loop, budget, addr, watchDialTimeout, func(c *transport.Conn, err error) { done(c, err) })
	}
}

// watcher keeps one watch on a list service, and hands each list that comes to onList. A watch that ends is reported there too, and
// whoever decides when to call (the policy, the fleet's list leadership, or the watcher itself for an agent on this machine) has
// the next one opened after a while. All of it runs on the loop.
type watcher struct {
	loop        *dispatch.EventLoop
	dial        watchDialFunc
	addr        string
	zoneIndexes map[string]int
	log         func(string)
	onList      func(kind policy.ListKind, members []dispatch.Member, notifiedAt time.Duration)
	leadership  *listLeadership // decides when to call; nil: the policy does
	pushed      bool            // the service is an agent on this machine, which is always watched: see discovery_agent.go

	revision uint64 // of the last list; 0: the whole list is asked for
	// knownUntil is until when everything that was listed is known here: the last message, or the end of a watch that had reported
	// everything until then. Nothing can have been heard after it where a dial was refused or did not come up.
	knownUntil   time.Duration
	call         watchCall
	silenceTimer *dispatch.Timer
	redialTimer  *dispatch.Timer
	redial       agentRedial
}

// watchCall is the call under way.
type watchCall struct {
	stop           func() // ends it; nil: there is none
	stream         *discovery.Stream
	firstMessageAt time.Duration // 0: nothing has come yet
	caughtUp       bool          // it has sent a list, or had none to send
}

// start hands the dispatcher the first list: an agent's, where it answers in time, or the one that the configuration knows.
func (w *watcher) start(cfg *config.Config, dispatcher *dispatch.Dispatcher) {
	w.onList = dispatcher.ApplyListNotifiedAt
	if w.pushed && w.fetchFirst(cfg.Settings.DrainGracePeriod) {
		w.open()
		return
	}
	if !w.pushed {
		w.knownUntil = w.loop.Now() // polled lists bind a process some time after its start
	}
	var known []dispatch.Member
	if w.addr == cfg.DiscoveryAddr { // another service's servers are not those that the configuration knows
		known = listedMembers(cfg.KnownServers, w.zoneIndexes)
		w.revision = cfg.KnownServers.Revision
	}
	dispatcher.ApplyList(policy.ListCached, known)
	if w.pushed {
		w.open()
	}
}

// openWatch opens the watch, or has the list leadership decide who does, when the policy asks for the list.
func (w *watcher) openWatch() {
	if w.leadership != nil {
		w.leadership.requestWatch()
		return
	}
	w.open()
}

// open calls the list service, unless a watch is under way.
func (w *watcher) open() {
	if w.call.stop != nil {
		return
	}
	cancel := w.dial(w.addr, w.dialled)
	w.call.stop = cancel
	w.startSilenceTimer(watchDialTimeout + watchSilenceTimeout)
}

// dialled asks for the list on a new connection, or reports that there is none.
func (w *watcher) dialled(c connection, err error) {
	if err != nil {
		if !w.pushed && !errors.Is(err, transport.ErrNoDescriptor) {
			w.knownUntil = w.loop.Now()
		}
		w.failed(err)
		return
	}
	w.call = watchCall{stop: c.Close, stream: &discovery.Stream{}}
	c.SetHandler(w)
	c.Write(discovery.WatchRequest(w.addr, w.revision))
	w.startSilenceTimer(w.firstMessageTimeout())
}

// setAddress turns to another list service. Its revisions are its own, so it is asked for the whole list; what the old one
// still sends is not heard.
func (w *watcher) setAddress(addr string) {
	if addr == w.addr {
		return
	}
	open := w.call.stop != nil
	w.markDisconnected()
	w.disconnect()
	w.addr = addr
	w.revision = 0
	w.redial.firstMessageLimit = 0
	switch {
	case w.leadership == nil && !w.pushed: // all poolers move at once
		w.onList(policy.ListFailed, nil, w.loop.Now())
	case open || w.leadership == nil: // else the leader's announcement tells what the new service lists
		w.open()
	}
}

// disconnect ends the call under way, if any, and reports it to nobody.
func (w *watcher) disconnect() {
	w.silenceTimer.Stop()
	w.redialTimer.Stop()
	if w.call.stop != nil {
		w.call.stop()
	}
	w.call.stop = nil
	w.call.caughtUp = false
}

// startSilenceTimer waits for the next message.
func (w *watcher) startSilenceTimer(timeout time.Duration) {
	w.silenceTimer.Stop()
	w.silenceTimer = w.loop.After(timeout, func() { w.failed(errSilent) })
}

// Closed ends a watch that its service has ended: what came before has been heard.
func (w *watcher) Closed(err error) {
	w.markDisconnected()
	w.failed(err)
}

// failed ends the call under way and sees to the next one.
func (w *watcher) failed(err error) {
	w.disconnect()
	w.log("discovery: " + err.Error())
	silent := errors.Is(err, errSilent)
	if w.pushed {
		if silent {
			w.revision = 0 // with nothing new to tell, an agent's first message could be an empty line, 2 s later
		}
		w.scheduleRedial()
		return
	}
	if silent && w.leadership == nil { // noticed late: less time is left than the policy takes
		w.redialTimer = w.loop.After(rand.N(maxSilenceRetry), w.open)
		return
	}
	if w.leadership != nil {
		w.leadership.watchFailed()
	}
	w.onList(policy.ListFailed, nil, w.loop.Now())
}

// Data takes in what the list service sends.
func (w *watcher) Data(at time.Duration, b []byte) {
	stream := w.call.stream
	begun, emptyLines := stream.InList(), stream.EmptyLines()
	lists, err := stream.Feed(b)
	w.observeActivity(at, begun, len(lists) > 0, stream.EmptyLines() > emptyLines)
	notifiedAt := w.notifiedAt(at)
	for _, list := range lists {
		w.receive(list, notifiedAt)
	}
	if w.call.caughtUp {
		w.knownUntil = at
		w.redial.firstMessageLimit = 0
	}
	if err != nil {
		if len(lists) == 0 {
			w.revision = 0 // it may be the list after this one that can't be read: ask for all of it
		}
		w.failed(err)
	}
}

// observeActivity takes in that bytes have come. Only what is complete is a sign of life: a list that has begun is owed, and a
// complete list is where none is known. An empty line tells that nothing is new. begun: the bytes continue a list.
func (w *watcher) observeActivity(at time.Duration, begun, list, emptyLine bool) {
	if w.call.firstMessageAt == 0 {
		w.call.firstMessageAt = at
		w.startSilenceTimer(watchSilenceTimeout)
	}
	alive := list || emptyLine && (w.revision > 0 || w.call.caughtUp)
	if !alive {
		return
	}
	w.startSilenceTimer(watchSilenceTimeout)
	if !begun && at >= w.call.firstMessageAt+catchUpTime {
		w.call.caughtUp = true
	}
}

// receive hands on a list.
func (w *watcher) receive(list discovery.List, notifiedAt time.Duration) {
	kind := policy.ListDelta
	if list.Complete {
		kind = policy.ListFull
	}
	w.revision = list.Revision
	w.redial.delay = 0
	w.call.caughtUp = true
	w.onList(kind, listedMembers(list, w.zoneIndexes), notifiedAt)
	if w.leadership != nil {
		w.leadership.receiveOwnList(list)
	}
}

// listedMembers returns listed servers as members of the dispatcher's list.
func listedMembers(list discovery.List, zoneIndexes map[string]int) []dispatch.Member {
	members := make([]dispatch.Member, len(list.Members))
	for i, m := range list.Members {
		members[i] = dispatch.Member{
			Name:      m.Name,
			Address:   m.Addr,
			Zone:      zoneIndex(zoneIndexes, m.Zone),
			Group:     m.Group,
			State:     m.State,
			Primary:   m.Primary,
			StartedAt: m.Started,
		}
	}
	return members
}
