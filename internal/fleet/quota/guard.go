package quota

import (
	"hash/fnv"
	"strconv"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// Guard holds one front's requests, attempts, connections and probes to the limits. Its calls are on that front's loop, and it
// is that loop's; fronts of one process share a Taker.
type Guard struct {
	client    *Client
	class     func(int) policy.Class
	settings  func() policy.Settings
	startedAt map[string]time.Duration // of servers that may be cold, Unix times
}

var (
	_ dispatch.Guard          = (*Guard)(nil)
	_ dispatch.ConnectionGate = (*Guard)(nil)
)

// NewGuard returns a front's guard. class tells of a request's class; settings say how a server warms, and what clients may be
// told of when to return; they may change under way.
func NewGuard(t *Client, class func(int) policy.Class, settings func() policy.Settings) *Guard {
	return &Guard{client: t, class: class, settings: settings, startedAt: map[string]time.Duration{}}
}

// Admit implements routing.Guard: a request needs a token of each limit that is on it.
func (g *Guard) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	class := g.class(r.Class)
	var taken []func()
	for _, l := range g.client.Limits().List {
		if l.On != config.LimitRequests || l.Class != "" && l.Class != class.Name {
			continue
		}
		key := ""
		if l.Tenants {
			key = tenantKey(class, r)
		}
		after, ok := g.client.Take(l, key, 1)
		if !ok {
			for _, spare := range taken {
				spare()
			}
			return dispatch.Admission{Reject: true, RetryAfter: g.retryAfter(after)}
		}
		taken = append(taken, func() { g.client.Refund(l, key) })
	}
	return dispatch.Admission{}
}

// tenantKey is whom a request is counted for: the session that its quoted key names, where its class has sessions or writes for
// them, else its group. Keys are told to other poolers as numbers: they are the clients'.
func tenantKey(class policy.Class, r *dispatch.Request) string {
	if (class.Access == policy.ReadSession || class.Access == policy.Write) && r.Key != "" {
		h := fnv.New64a()
		h.Write([]byte(r.Key))
		return "s" + strconv.FormatUint(h.Sum64(), 36)
	}
	return "g" + strconv.Itoa(r.Group)
}

// retryAfter is when a refused client is told to return: when there will be a token here, or when the next answer of the holder is
// here, which may bring a larger slice; as far as the settings let clients be told.
func (g *Guard) retryAfter(d time.Duration) time.Duration {
	set := g.settings()
	if !set.RetryAfterSupported {
		return 0
	}
	if holder, _ := g.client.Leader(); holder != "" {
		d = min(d, g.client.term/3)
	}
	return min(max(d, time.Millisecond), set.MaxRetryAfter)
}

// MaySend implements routing.Guard: an attempt for a cold server needs a token of its limit, more the colder it is. The rules'
// own share for each front holds beside it.
func (g *Guard) MaySend(now time.Duration, r *dispatch.Request, server string) dispatch.SendDecision {
	if r.WaitedForConnection { // its token was taken before it waited
		return dispatch.Send
	}
	warmth, cold := g.slowStartWeight(now, server)
	if l, ok := g.client.Limits().On(config.LimitCold); ok && cold {
		if _, ok := g.client.Take(l, server, warmth); !ok {
			return dispatch.SendElsewhere
		}
	}
	return dispatch.Send
}

// RequestEnded implements routing.Guard.
func (g *Guard) RequestEnded(time.Duration, *dispatch.Request, dispatch.FinalAnswer) {}

// ServerListed implements routing.Gate.
func (g *Guard) ServerListed(server string, started time.Duration) {
	if started > 0 && g.settings().SlowStartDuration > 0 {
		g.startedAt[server] = started
	}
}

// slowStartWeight is the share of its work that a server bears that the list says has started a while ago, by the rules' own line.
func (g *Guard) slowStartWeight(now time.Duration, server string) (warmth float64, cold bool) {
	started, ok := g.startedAt[server]
	if !ok {
		return 1, false
	}
	set := g.settings()
	if now >= started+set.SlowStartDuration {
		delete(g.startedAt, server)
		return 1, false
	}
	f := max(set.SlowStartCapacity, minSlowStartWeight)
	return f + (1-f)*float64(max(now-started, 0))/float64(set.SlowStartDuration), true
}

const minSlowStartWeight = 0.05 // as in internal/policy/cold.go

// MayDial implements routing.Gate.
func (g *Guard) MayDial(_ time.Duration, server string) (time.Duration, bool) {
	l, ok := g.client.Limits().On(config.LimitConnections)
	if !ok {
		return 0, true
	}
	return g.client.Take(l, server, 1)
}

// MayProbe implements routing.Gate.
func (g *Guard) MayProbe(_ time.Duration, server string) bool {
	l, ok := g.client.Limits().On(config.LimitProbes)
	if !ok {
		return true
	}
	_, ok = g.client.Take(l, server, 1)
	return ok
}
