package lab

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/lab/judge"
)

// LimitUse is by how much a limit of the fleet was exceeded at its worst, over any span, and the bound that is stated for that.
type LimitUse struct {
	Limit     string  `json:"Limit"`
	Used      int     `json:"Taken"` // over the run, at all servers
	MaxExcess float64 `json:"Most"`  // above the rate: at the worst server, where the limit is on each
	Bound     float64 `json:"Bound"`
}

// dealer is who deals the limits, as the poolers' logs tell.
type dealer struct {
	mu sync.Mutex
	i  []int
}

func (d *dealer) heard(i int, line string) {
	if strings.Contains(line, "quota: this pooler allocates") {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.i = []int{i}
	}
}

func (d *dealer) now() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.i)
}

// limited judges the limits on all requests and on connections, by clients and stand-ins, and measures new connections from the
// first kill on. What was taken in is counted over spans that hold a request from its beginning to its answer, so that nothing
// is counted late; connections may come for as long after they were let as a pooler waits for them.
func (r *fleetRun) limited(rep *FleetReport) {
	for _, server := range r.servers.Servers {
		if r.killed.IsZero() {
			break
		}
		at := slices.DeleteFunc(server.CameAt(), func(t time.Time) bool { return t.Before(r.killed) })
		rep.AfterKill[0] = max(rep.AfterKill[0], float64(worst(at, 100*time.Millisecond)))
		rep.AfterKill[1] = max(rep.AfterKill[1], float64(worst(at, time.Second)))
	}
	for _, l := range r.Scenario.Fleet.Limits.List {
		size := float64(rep.Poolers)
		o := LimitUse{Limit: l.Name, Bound: l.Burst + size + float64(rep.Starts-rep.Poolers)*max(1, l.Burst*l.Reserve/size)}
		switch {
		case l.Target == config.LimitConnections:
			o.Bound += l.Rate * connectWithin.Seconds()
			for _, server := range r.servers.Servers {
				at := server.CameAt()
				o.Used += len(at)
				o.MaxExcess = max(o.MaxExcess, above(l.Rate, at, func(time.Time) float64 { return 1 }))
			}
		case l.Target == config.LimitRequests && l.Class == "" && !l.Tenants:
			var in []judge.Request
			for _, q := range rep.Requests {
				if q.Outcome == judge.Served || q.Outcome == judge.Failed {
					in = append(in, q)
				}
			}
			o.Used, o.MaxExcess = len(in), inside(l.Rate, in)
		case l.Target == config.LimitCold:
			// A token is 1/w of them at a warmth w, so a bucket may be short by as much once.
			o.Bound += l.Rate*connectWithin.Seconds() + size*(1/coldFrom-1)
			for _, server := range r.servers.Servers {
				if server.Started.IsZero() {
					continue
				}
				var at []time.Time
				for _, seen := range server.Seen() {
					at = append(at, seen.At)
				}
				o.Used += len(at)
				o.MaxExcess = max(o.MaxExcess, above(l.Rate, at, func(t time.Time) float64 {
					return 1 / min(coldFrom+(1-coldFrom)*float64(t.Sub(server.Started))/float64(coldFor), 1)
				}))
			}
		default:
			continue
		}
		if rep.LimitUse = append(rep.LimitUse, o); o.MaxExcess > o.Bound {
			rep.Broken = append(rep.Broken, fmt.Sprintf("limit %s: %.1f above its rate, the bound is %.1f", o.Limit, o.MaxExcess, o.Bound))
		}
	}
}

// Of the settings that the laboratory gives: a pooler's time to connect, and how servers warm.
const (
	connectWithin = 250 * time.Millisecond
	coldFrom      = 0.2
	coldFor       = 30 * time.Second
)

// above is the most by which what came at the sorted times exceeds a rate over any span; each is weighed.
func above(rate float64, at []time.Time, weigh func(time.Time) float64) (most float64) {
	over := 0.0
	for i, t := range at {
		if i > 0 {
			over = max(0, over-rate*t.Sub(at[i-1]).Seconds())
		}
		over += weigh(t)
		most = max(most, over)
	}
	return most
}

// spans is from how many instants on spans are looked at.
const spans = 400

// inside is the most by which requests that lie in a span whole exceed a rate, over spans that begin where one of some requests
// does.
func inside(rate float64, in []judge.Request) (most float64) {
	slices.SortFunc(in, func(a, b judge.Request) int { return cmp.Compare(a.EndedAt.UnixNano(), b.EndedAt.UnixNano()) })
	for i := 0; i < len(in); i += max(1, len(in)/spans) {
		from, n := in[i].BeganAt, 0
		for _, q := range in {
			if !q.BeganAt.Before(from) {
				n++
				most = max(most, float64(n)-rate*q.EndedAt.Sub(from).Seconds())
			}
		}
	}
	return most
}

func (rep FleetReport) limitsTable(out io.Writer) {
	if rep.AfterKill[0] > 0 {
		fmt.Fprintf(out, "from the first kill on, at the worst server: %.0f new connections in 100 ms, %.0f in a second\n", rep.AfterKill[0], rep.AfterKill[1])
	}
	for _, o := range rep.LimitUse {
		fmt.Fprintf(out, "limit %s: %d taken, at most %.1f above its rate; the bound is %.1f\n", o.Limit, o.Used, o.MaxExcess, o.Bound)
	}
}
