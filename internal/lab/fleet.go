package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"threadsail/internal/lab/scenario"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/relay"
	"threadsail/internal/lab/standin"
)

// Fleet is an experiment on many processes of the pooler among stand-in servers, with a relay on each link between a
// pooler and a server and the scenario's faults put on links and processes. Clients speak PostgreSQL's wire.
type Fleet struct {
	Scenario scenario.Scenario
	Command  func() *exec.Cmd     // a new process of the pooler, which the experiment gives its environment
	Env      func(i int) []string // further environment of the pooler of an index; nil: none
	Logs     io.Writer            // where the poolers' log lines go, each with "pooler" put first; nil: nowhere
	Progress func(line string)
	Stop     <-chan struct{} // closed: the run ends early, as if its length were over
}

// fleetRun is the state of one run.
type fleetRun struct {
	Fleet
	h        standin.Host
	servers  *standin.Fleet
	poolers  []*pooler
	relays   [][]*relay.Link // by pooler, then server
	members  []*standin.Member
	lists    []*standin.Discovery // every list service that a pooler has had
	logs     sync.Mutex
	starts   int
	began    time.Time
	errs     []string // of starts, which fail the run on its own goroutine
	open     []int    // connections open at each server, summed over the samples
	samples  int
	ups      []up
	replaced int
	bad      []BadServer
	drained  []Drained
	peers    peerNet
	purges   purges
	shards   shards
	dealer   dealer
	killed   time.Time     // the first kill
	held     map[int][]int // by the index of a step on the holder, whom it was for
	rss      [3]float64    // summed over poolers: first sample, last sample; and the most of one

	mu       sync.Mutex
	requests []judge.Request
	took     *hdrhistogram.Histogram
}

// up is a server that came up again.
type up struct {
	server int
	at     time.Time
}

// Run plays the scenario and judges it. It fails h if a pooler does not start.
func (f Fleet) Run(h standin.Host) FleetReport {
	s := f.Scenario
	r := &fleetRun{Fleet: f, h: h, purges: purges{Purges: s.Fleet.Purges}, shards: shards{Shards: s.Fleet.Shards}, held: map[int][]int{}, took: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	names := make([]string, s.Servers)
	for i := range names {
		names[i] = fmt.Sprintf("db%d", i+1)
	}
	r.servers = standin.NewFleet(h, false, func(settings map[string]any) { settle(s, settings) }, names...)
	r.servers.Roles = s.RolesListed
	for j, server := range r.servers.Servers {
		var first bool
		server.Cell, first = s.GroupOf(j)
		server.Set(first, 0)
		r.work(server)
	}
	for i := range s.Poolers {
		if !s.Direct {
			links := make([]*relay.Link, s.Servers)
			for j, server := range r.servers.Servers {
				links[j] = r.link(i, j, server)
			}
			r.relays = append(r.relays, links)
		}
		m := r.servers.Member(fmt.Sprintf("n%d", i+1), fmt.Sprintf("%016x", rand.New(rand.NewPCG(s.Seed, uint64(i))).Uint64()),
			func(server *standin.Server) string {
				if s.Direct {
					return server.Addr
				}
				return r.relays[i][slices.Index(r.servers.Servers, server)].Addr()
			})
		r.members, r.lists = append(r.members, m), append(r.lists, m.Discovery)
		r.poolers = append(r.poolers, &pooler{i: i, env: m.Env})
	}
	r.shards.open(h, r.servers.Servers)
	r.peers.join(h, s, r.members, r.purges, &r.shards)
	h.Cleanup(r.endAll)
	r.began = time.Now()
	r.each(r.poolers, func(p *pooler) { r.start(p) })
	r.failed()
	r.say("%d poolers up before %d servers", s.Poolers, s.Servers)

	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, p := range r.poolers {
		clients := s.Clients
		if slices.Contains(s.Hot, p.i) {
			clients = s.HotClients
		}
		for c := range clients {
			rng := rand.New(rand.NewPCG(s.Seed, uint64(p.i<<8|c)))
			running.Go(func() { r.client(p, rng, stop) })
		}
	}
	r.began = time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	r.open = make([]int, s.Servers)
	for elapsed, sampled := time.Duration(0), time.Duration(0); elapsed < s.Length; elapsed = time.Since(r.began) {
		for _, step := range s.Plan.Due(elapsed) {
			r.act(step)
		}
		for _, l := range r.shards.due() {
			r.act(l.step)
			r.shards.came(l)
		}
		r.failed()
		select {
		case <-f.Stop:
			r.say("stopped before its end")
			elapsed = s.Length
		default:
		}
		if elapsed >= s.Length {
			break
		}
		if elapsed-sampled >= time.Second {
			sampled = elapsed
			r.sample()
		}
		<-tick.C
	}
	tick.Stop()
	close(stop)
	running.Wait()
	r.endAll() // so that their logs are whole
	return r.report()
}

// sample counts the connections open at each server.
func (r *fleetRun) sample() {
	r.samples++
	r.rss[1] = 0
	for _, p := range r.poolers {
		mb := p.resident()
		if r.samples == 1 {
			r.rss[0] += mb
		}
		r.rss[1] += mb
		r.rss[2] = max(r.rss[2], mb)
	}
	for j, server := range r.servers.Servers {
		r.open[j] += server.Open()
		if err := server.Broken(); err != nil {
			r.fail(fmt.Sprintf("the laboratory itself: %s takes no connections: %v", server.Name, err))
		}
	}
}

func (r *fleetRun) say(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf("%6.1f s  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)))
	}
}

func (r *fleetRun) fail(err string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

// failed fails the run on its own goroutine if a start has failed.
func (r *fleetRun) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errs) > 0 {
		r.h.Fatal(strings.Join(r.errs, "; "))
	}
}

// each does something to each of the poolers at once, and waits until all is done.
func (r *fleetRun) each(poolers []*pooler, do func(p *pooler)) {
	var wg sync.WaitGroup
	for _, p := range poolers {
		wg.Go(func() { do(p) })
	}
	wg.Wait()
}

// client asks p again and again, one request at a time, until stop; each request is recorded with its outcome.
func (r *fleetRun) client(p *pooler, rng *rand.Rand, stop <-chan struct{}) {
	s := r.Scenario
	var c *standin.Postgres
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(s.ThinkTime/2 + time.Duration(rng.Int64N(int64(s.ThinkTime)))):
		}
		addr := p.up()
		if addr == "" {
			if c != nil {
				_ = c.Close()
				c = nil
			}
			continue
		}
		q := judge.Request{Pooler: p.i, BeganAt: time.Now(), Write: rng.Float64() < s.WriteShare}
		if c == nil {
			var err error
			if c, err = standin.DialPostgresWithin(addr, s.Timeout+lateBy); err != nil { // a stalled pooler must not hold it
				q.EndedAt, q.Outcome, q.Cause = time.Now(), judge.Broken, "connect: "+err.Error()
				r.note(q, 0)
				c = nil
				continue
			}
		}
		text := r.read(rng)
		if q.Keyed = q.Write && !s.Unkeyed; q.Keyed {
			text = standin.Write(fmt.Sprintf("%016x", rng.Uint64()), s.Timeout)
		} else if q.Write {
			text = standin.Write("", s.Timeout)
		}
		text = standin.At(rng.IntN(s.Groups), text)
		var row judge.RowOp
		if s.Fleet.Shards.Keys > 0 {
			text, row = r.shards.ask(rng, q.Write, fmt.Sprintf("%016x", rng.Uint64()), s.Groups, s.Timeout)
		}
		_ = c.SetDeadline(time.Now().Add(s.Timeout + lateBy))
		began := time.Now()
		res := c.Do(text)
		q.EndedAt = time.Now()
		switch {
		case res.Err != nil:
			q.Outcome, q.Cause = judge.Broken, res.Err.Error()
			if strings.Contains(q.Cause, "timeout") {
				q.Outcome, q.Cause = judge.Silent, "no answer in time"
			}
		case q.EndedAt.Sub(began) > s.Timeout+lateBy:
			q.Outcome, q.Cause = judge.Silent, "answered late"
		case res.Refused:
			q.Outcome = judge.Refused
		case res.Failed:
			q.Outcome, q.Cause = judge.Failed, "code "+res.Code
		}
		if q.Outcome == judge.Served && !q.Write {
			q.MadeAt = r.purges.made(res.Value)
		}
		r.shards.note(row, q, res.Value)
		r.note(q, q.EndedAt.Sub(began))
		if res.Err != nil {
			_ = c.Close()
			c = nil
		}
	}
}

func (r *fleetRun) note(q judge.Request, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
	if q.Outcome == judge.Served {
		_ = r.took.RecordValue(max(took.Microseconds(), 1))
	}
}
