package quota

import (
	"hash/fnv"
	"strconv"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// Guard applies the limits to the requests, attempts, connections and probes of one frontend. All methods must be called on the event loop
// of that frontend. The frontends of a process share a Client.
type Guard struct {
	client    *Client
	classOf   func(class int) policy.Class
	settings  func() policy.Settings
	startedAt map[string]time.Duration // by server that may be cold: its start time as Unix time
}

var (
	_ dispatch.Guard          = (*Guard)(nil)
	_ dispatch.ConnectionGate = (*Guard)(nil)
)

// NewGuard returns a guard for a frontend. classOf returns the class with an index, and settings returns the current settings for slow start
// and for Retry-After. The results of both may change at any time.
func NewGuard(c *Client, classOf func(class int) policy.Class, settings func() policy.Settings) *Guard {
	return &Guard{client: c, classOf: classOf, settings: settings, startedAt: map[string]time.Duration{}}
}

// takenToken identifies a token that a request has taken.
type takenToken struct {
	limit config.Limit
	key   string
}

// Admit implements dispatch.Guard. A request takes one token of each limit that applies to it. If one of the limits has none, the request is
// rejected and the tokens already taken are returned.
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

// tenantKey returns the tenant for which a request counts: the session that its key names, if its class reads or writes for sessions, and
// its group otherwise. A session key is client data, so that only its hash is sent to other poolers.
func tenantKey(class policy.Class, r *dispatch.Request) string {
	forSession := class.Access == policy.ReadSession || class.Access == policy.Write
	if forSession && r.Key != "" {
		hash := fnv.New64a()
		hash.Write([]byte(r.Key))
		return "s" + strconv.FormatUint(hash.Sum64(), 36)
	}
	return "g" + strconv.Itoa(r.Group)
}

// retryAfter returns the time after which the client of a rejected request may retry: until a token will be available, but no longer than
// until the leader's next grant, which may contain a larger quota, and no longer than the settings allow. It returns 0 if the settings do
// not support Retry-After.
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

// MaySend implements dispatch.Guard. An attempt at a cold server takes tokens of the limit on cold servers, more of them the colder the
// server is. The policy's own slow-start limit for each frontend applies in addition.
func (g *Guard) MaySend(now time.Duration, r *dispatch.Request, server string) dispatch.SendDecision {
	if r.WaitedForConnection { // its tokens were taken before it waited
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

// slowStartWeight returns the share of its normal load that a server can take during slow start, as in the policy. cold is false for a
// server that is not in its slow start.
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
