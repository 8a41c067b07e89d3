package quota

import (
	"hash/fnv"
	"strconv"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// Guard holds one frontend's requests, attempts, connections and probes to the limits. It belongs to that frontend's event loop, on which
// all of its methods are called; the frontends of one process share a Client.
type Guard struct {
	client    *Client
	classOf   func(class int) policy.Class
	settings  func() policy.Settings
	startedAt map[string]time.Duration // of servers that may be cold: Unix times
}

var (
	_ dispatch.Guard          = (*Guard)(nil)
	_ dispatch.ConnectionGate = (*Guard)(nil)
)

// NewGuard returns the guard of a frontend. classOf returns a request's class; settings return how a server's slow start goes, and what
// clients may learn about retries. Both may change at any time.
func NewGuard(c *Client, classOf func(class int) policy.Class, settings func() policy.Settings) *Guard {
	return &Guard{client: c, classOf: classOf, settings: settings, startedAt: map[string]time.Duration{}}
}

// takenToken is a token that a request has taken of a limit.
type takenToken struct {
	limit config.Limit
	key   string
}

// Admit implements dispatch.Guard: a request takes a token of each limit that applies to it, or none.
func (g *Guard) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	class := g.classOf(r.Class)
	var taken []takenToken
	for _, l := range g.client.Limits().List {
		if l.Target != config.LimitRequests || l.Class != "" && l.Class != class.Name {
			continue
		}
		token := takenToken{limit: l}
		if l.Tenants {
			token.key = tenantKey(class, r)
		}
		after, ok := g.client.Take(l, token.key, 1)
		if !ok {
			for _, unused := range taken {
				g.client.Refund(unused.limit, unused.key)
			}
			return dispatch.Admission{Reject: true, RetryAfter: g.retryAfter(after)}
		}
		taken = append(taken, token)
	}
	return dispatch.Admission{}
}

// tenantKey is the tenant that a request counts for: the session that its key names, where its class reads or writes for sessions, else
// its group. A key is sent to other poolers as a number, as it is the client's.
func tenantKey(class policy.Class, r *dispatch.Request) string {
	forSession := class.Access == policy.ReadSession || class.Access == policy.Write
	if forSession && r.Key != "" {
		hash := fnv.New64a()
		hash.Write([]byte(r.Key))
		return "s" + strconv.FormatUint(hash.Sum64(), 36)
	}
	return "g" + strconv.Itoa(r.Group)
}

// retryAfter is when the client of a rejected request may retry: when there will be a token, or when the leader's next grant arrives,
// which may bring a larger quota; within what the settings allow. 0 means that the client learns nothing.
func (g *Guard) retryAfter(untilToken time.Duration) time.Duration {
	settings := g.settings()
	if !settings.RetryAfterSupported {
		return 0
	}
	after := untilToken
	if leader, _ := g.client.Leader(); leader != "" {
		after = min(after, g.client.requestInterval())
	}
	return min(max(after, time.Millisecond), settings.MaxRetryAfter)
}

// MaySend implements dispatch.Guard: an attempt at a cold server takes a token of its limit, or more the colder the server is. The
// policy's own share for each frontend holds beside it.
func (g *Guard) MaySend(now time.Duration, r *dispatch.Request, server string) dispatch.SendDecision {
	if r.WaitedForConnection { // its token was taken before it waited
		return dispatch.Send
	}
	weight, cold := g.slowStartWeight(now, server)
	l, limited := g.client.Limits().OnTarget(config.LimitCold)
	if !cold || !limited {
		return dispatch.Send
	}
	if _, ok := g.client.Take(l, server, weight); !ok {
		return dispatch.SendElsewhere
	}
	return dispatch.Send
}

// RequestEnded implements dispatch.Guard.
func (g *Guard) RequestEnded(time.Duration, *dispatch.Request, dispatch.FinalAnswer) {}

// ServerListed implements dispatch.ConnectionGate.
func (g *Guard) ServerListed(server string, startedAt time.Duration) {
	if startedAt > 0 && g.settings().SlowStartDuration > 0 {
		g.startedAt[server] = startedAt
	}
}

// slowStartWeight is the share of its work that a server in its slow start bears, as the policy has it; cold is false for others.
func (g *Guard) slowStartWeight(now time.Duration, server string) (weight float64, cold bool) {
	startedAt, listed := g.startedAt[server]
	if !listed {
		return 1, false
	}
	settings := g.settings()
	if now >= startedAt+settings.SlowStartDuration {
		delete(g.startedAt, server)
		return 1, false
	}
	initial := max(settings.SlowStartCapacity, minWeight)
	progress := float64(max(now-startedAt, 0)) / float64(settings.SlowStartDuration)
	return initial + (1-initial)*progress, true
}

// MayDial implements dispatch.ConnectionGate.
func (g *Guard) MayDial(_ time.Duration, server string) (time.Duration, bool) {
	l, limited := g.client.Limits().OnTarget(config.LimitConnections)
	if !limited {
		return 0, true
	}
	return g.client.Take(l, server, 1)
}

// MayProbe implements dispatch.ConnectionGate.
func (g *Guard) MayProbe(_ time.Duration, server string) bool {
	l, limited := g.client.Limits().OnTarget(config.LimitProbes)
	if !limited {
		return true
	}
	_, ok := g.client.Take(l, server, 1)
	return ok
}
