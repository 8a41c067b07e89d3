package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadsail/internal/config"
	"threadsail/internal/lab/faults"
	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/relay"
	"threadsail/internal/lab/standin"
)

// Fleet is an experiment on many processes of the pooler among stand-in servers, with a relay on each link between a
// pooler and a server and the scenario's faults put on links and processes. Clients speak PostgreSQL's wire.
type Fleet struct {
	Scenario config.Scenario
	Command  func() *exec.Cmd     // a new process of the pooler, which the experiment gives its environment
	Env      func(i int) []string // further environment of the pooler of an index; nil: none
	Logs     io.Writer            // where the poolers' log lines go, each with "pooler" put first; nil: nowhere
	Progress func(line string)
	Stop     <-chan struct{} // closed: the run ends early, as if its length were over
}

// FleetReport is what came of it, by what clients, relays and stand-ins recorded.
type FleetReport struct {
	judge.Verdict
	Poolers, Servers int
	Length           time.Duration
	Began            time.Time // of the clients and the plan
	Seconds          []Counts  // by the second in which requests ended
	NewBySecond      []int     // new connections at all servers, by the second
	P50, P99         time.Duration
	Connections      [3]float64    // new connections a server over the run: least, mean, most
	Open             [3]float64    // connections open at a server, its mean over the run's seconds: least, mean, most
	OpenReplicas     [3]float64    // the same at those that are replicas at the end
	OpenMost         int           // connections open at one server at any sampled second
	Resident         [3]float64    // resident memory of a pooler in MB, mean over poolers: at the first sample, at the last, most of any
	Probes           int           // health asked for at servers, all servers
	ProbesBySecond   []int         // the same by the second
	Cold             int           // requests' statements at servers in the first second after they came up again
	Worst100ms       [2]float64    // new connections at one server in its worst 100 ms: mean over servers, most
	WorstSecond      [2]float64    // the same in its worst second
	AfterKill        [2]float64    // new connections at one server from the first kill on, in the worst 100 ms and second; 0: none
	Over             []Over        `json:",omitempty"`
	ListCalls        int           // watches opened at the list services, all poolers
	Starts           int           // pooler processes started, restarts among them
	Met              [][]bool      `json:"-"`          // by pooler, then server place: whether a connection came to who stands there last
	Journals         []string      `json:",omitempty"` // of a fleet that knows its members; they are gone with the run
	Purges           []judge.Purge `json:",omitempty"`
	Shards           *Shards       `json:",omitempty"`
	Reads            int           // served to clients, where purges are played
	ReadsAtServers   int           // statements of reads that came to servers, repeats among them
	Requests         []judge.Request
	Outages          []judge.Outage
	Bad              []Bad `json:",omitempty"`
	FalseVerdicts    int   // on servers that were not bad for all poolers
}

// pooler is one process of the pooler, and the times it could not answer.
type pooler struct {
	i   int
	env map[string]string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	addr    string
	outages []judge.Outage
}

// up is the address of its front, or "" while it is out.
func (p *pooler) up() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.outages); n > 0 && p.outages[n-1].To.IsZero() {
		return ""
	}
	return p.addr
}

func (p *pooler) goOut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.outages); n == 0 || !p.outages[n-1].To.IsZero() {
		p.outages = append(p.outages, judge.Outage{Pooler: p.i, From: time.Now()})
	}
}

func (p *pooler) comeBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.outages); n > 0 && p.outages[n-1].To.IsZero() {
		p.outages[n-1].To = time.Now()
	}
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
	bad      []Bad
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
	r := &fleetRun{Fleet: f, h: h, purges: purges{ScenarioPurges: s.Fleet.Purges}, shards: shards{ScenarioShards: s.Fleet.Shards}, held: map[int][]int{}, took: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	names := make([]string, s.Servers)
	for i := range names {
		names[i] = fmt.Sprintf("db%d", i+1)
	}
	r.servers = standin.NewFleet(h, false, func(settings map[string]any) { settings["balancers"] = s.Poolers }, names...)
	r.servers.Roles = s.Roles
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

// some names a set of indices for a person: a short one whole, a long one by its size.
func some(set []int) string {
	if len(set) > 12 {
		return fmt.Sprintf("%d of them", len(set))
	}
	return fmt.Sprint(set)
}

// link opens the relay from pooler i to the server in place j.
func (r *fleetRun) link(i, j int, server *standin.Server) *relay.Link {
	link, err := relay.Listen(server.Addr, r.Scenario.Seed^uint64(i<<16|j))
	if err != nil {
		r.h.Fatal(err)
	}
	r.h.Cleanup(link.Close)
	return link
}

// work has a server take its time over each statement. Without it answers come within fractions of a millisecond, whose
// chance a pooler takes for slowness, and spreads its reads over servers that it would not use.
func (r *fleetRun) work(server *standin.Server) {
	if r.purges.Sites > 0 {
		server.Stamp()
	}
	if w := r.Scenario.Work; w > 0 {
		server.Do(func(standin.Seen) standin.Act {
			time.Sleep(w/2 + time.Duration(rand.Int64N(int64(w))))
			return standin.Answer
		})
	}
}

// replace puts a new server, a replica, in place j: the old one goes down, relays lead to the new one, and every list
// service names it instead.
func (r *fleetRun) replace(j int) {
	old := r.servers.Servers[j]
	r.replaced++
	fresh := r.servers.Server(fmt.Sprintf("db%d-%d", j+1, r.replaced), false)
	fresh.Cell = old.Cell
	r.work(fresh)
	r.servers.Servers[j] = fresh
	for i := range r.relays {
		r.relays[i][j] = r.link(i, j, fresh)
	}
	for _, m := range r.members {
		m.List()
	}
	old.Down()
	r.ups = append(r.ups, up{j, time.Now()})
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

// start starts p's process and waits until its front listens, as its log says.
func (r *fleetRun) start(p *pooler) {
	cmd := r.Command()
	// A group of its own, so that a terminal's interrupt reaches the laboratory alone, which then ends every pooler by its
	// id; and killed with the laboratory's thread if that is killed itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if r.Env != nil {
		cmd.Env = append(cmd.Env, r.Env(p.i)...)
	}
	for k, v := range p.env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	out, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		r.fail(fmt.Sprintf("pooler %d: %v", p.i, err))
		return
	}
	exited := make(chan struct{})
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	addr := ""
	var seen strings.Builder
	for addr == "" && lines.Scan() {
		line := lines.Text()
		r.log(p.i, line)
		if seen.Len() < 4096 {
			seen.WriteString(line + "\n")
		}
		if _, rest, ok := strings.Cut(line, `"addr":"`); ok && strings.Contains(line, `"front":"postgres"`) {
			addr, _, _ = strings.Cut(rest, `"`)
		}
	}
	go func() {
		for lines.Scan() { // the pooler must never wait for its reader
			r.log(p.i, lines.Text())
		}
		_ = cmd.Wait()
		close(exited)
	}()
	if addr == "" {
		<-exited
		r.fail(fmt.Sprintf("pooler %d does not serve: %s", p.i, seen.String()))
		return
	}
	p.mu.Lock()
	p.cmd, p.exited, p.addr = cmd, exited, addr
	p.mu.Unlock()
	r.mu.Lock()
	r.starts++
	r.mu.Unlock()
	p.comeBack()
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

func (r *fleetRun) log(i int, line string) {
	r.shards.heard(i, line)
	r.dealer.heard(i, line)
	if r.Logs == nil {
		return
	}
	r.logs.Lock()
	defer r.logs.Unlock()
	if strings.HasPrefix(line, "{") {
		fmt.Fprintf(r.Logs, "{\"pooler\":%d,%s\n", i, line[1:])
	} else {
		fmt.Fprintf(r.Logs, "{\"pooler\":%d,\"text\":%q}\n", i, line)
	}
}

// resident is the resident memory of p's process in MB, as Linux tells it; 0 if it is out or can't be read.
func (p *pooler) resident() float64 {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	var size, pages float64
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(statm), &size, &pages); err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// signal sends sig to p's process, if it runs.
func (p *pooler) signal(sig syscall.Signal) (exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
	return p.exited
}

// endAll ends every process, and lets stopped ones go on first so that they can end.
func (r *fleetRun) endAll() {
	for _, p := range r.poolers {
		p.signal(syscall.SIGCONT)
		if exited := p.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	}
}

// holder is the pooler that has watched a list service of its own for longest, as those tell; none: nobody watches one.
func (r *fleetRun) holder() []int {
	var oldest time.Time
	var found []int
	for i, m := range r.members {
		if since, ok := m.Discovery.Open(); ok && (found == nil || since.Before(oldest)) {
			oldest, found = since, []int{i}
		}
	}
	return found
}

// act carries out one step of the plan.
func (r *fleetRun) act(step faults.Step) {
	if step.Holder || step.Dealer {
		if !step.Act.Ends() {
			r.held[step.Index] = r.holder()
			if step.Dealer {
				r.held[step.Index] = r.dealer.now()
			}
		}
		step.Poolers = r.held[step.Index]
	}
	r.say("%s, poolers %s, servers %s", step.Act, some(step.Poolers), some(step.Servers))
	r.badFor(step)
	links := func(fault relay.Fault) {
		for _, p := range step.Poolers {
			for _, s := range step.Servers {
				r.relays[p][s].Set(fault)
			}
		}
	}
	var some []*pooler
	for _, i := range step.Poolers {
		some = append(some, r.poolers[i])
	}
	each := func(do func(p *pooler)) { r.each(some, do) }
	if step.Act == faults.Kill && r.killed.IsZero() {
		r.killed = time.Now()
	}
	switch step.Act {
	case faults.Kill, faults.Term:
		sig := map[faults.Act]syscall.Signal{faults.Kill: syscall.SIGKILL, faults.Term: syscall.SIGTERM}[step.Act]
		each(func(p *pooler) {
			p.goOut()
			if exited := p.signal(sig); exited != nil {
				<-exited
			}
		})
	case faults.Stop:
		each(func(p *pooler) { p.goOut(); p.signal(syscall.SIGSTOP) })
	case faults.Cont:
		each(func(p *pooler) { p.signal(syscall.SIGCONT); p.comeBack() })
	case faults.Restart:
		each(func(p *pooler) {
			if p.up() == "" {
				r.start(p)
			}
		})
	case faults.Hup:
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Retune:
		for _, i := range step.Poolers {
			r.members[i].Retune()
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Closes, faults.Order:
		var files []map[string]any
		for _, i := range step.Poolers {
			files = append(files, r.peers.files[i])
		}
		if step.Act == faults.Order {
			r.purges.order(time.Now(), files)
		} else {
			r.purges.closes(time.Now().Add(step.Delay), files)
		}
		for _, i := range step.Poolers {
			r.members[i].File("PROXY_FLEET", r.peers.files[i])
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Reshard:
		r.shards.reshard(r.Scenario.Groups)
		for _, i := range step.Poolers {
			r.shards.into(r.peers.files[i], r.Scenario.Groups, r.Scenario.Fleet.Term)
			r.members[i].File("PROXY_FLEET", r.peers.files[i])
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.NoList, faults.Lists:
		for _, i := range step.Poolers {
			r.members[i].Discovery.Out(step.Act == faults.NoList)
		}
	case faults.Move:
		for _, i := range step.Poolers {
			r.members[i].Move()
			r.lists = append(r.lists, r.members[i].Discovery)
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Isolate:
		r.peers.set(step.Poolers, relay.Fault{Drop: true}, false)
	case faults.Lag:
		r.peers.set(step.Poolers, relay.Fault{Delay: step.Delay, Jitter: step.Jitter}, true)
	case faults.Rejoin:
		r.peers.set(step.Poolers, relay.Fault{}, true)
	case faults.Replace:
		for _, j := range step.Servers {
			r.replace(j)
		}
	case faults.Cut:
		links(relay.Fault{Drop: true})
	case faults.OneWay:
		links(relay.Fault{Drop: true, OneWay: true})
	case faults.Delay:
		links(relay.Fault{Delay: step.Delay, Jitter: step.Jitter})
	case faults.Reset:
		links(relay.Fault{Refuse: true})
	case faults.Heal:
		links(relay.Fault{})
	case faults.Err:
		for _, j := range step.Servers {
			r.servers.Servers[j].Do(func(standin.Seen) standin.Act { return standin.Fault })
		}
	case faults.Right:
		for _, j := range step.Servers {
			r.servers.Servers[j].Do(nil)
			r.work(r.servers.Servers[j])
		}
	case faults.Down:
		for _, s := range step.Servers {
			r.servers.Servers[s].Down()
		}
	case faults.Up:
		for _, s := range step.Servers {
			if err := r.servers.Servers[s].Up(); err != nil {
				r.fail(err.Error())
			}
			r.ups = append(r.ups, up{s, time.Now()})
		}
	case faults.Promote:
		next := r.servers.Servers[step.Servers[0]]
		for _, s := range r.servers.Servers {
			if s.Cell == next.Cell {
				s.Set(s == next, 0)
			}
		}
	}
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
		case <-time.After(s.Rest/2 + time.Duration(rng.Int64N(int64(s.Rest)))):
		}
		addr := p.up()
		if addr == "" {
			if c != nil {
				_ = c.Close()
				c = nil
			}
			continue
		}
		q := judge.Request{Pooler: p.i, Began: time.Now(), Write: rng.Float64() < s.Writes}
		if c == nil {
			var err error
			if c, err = standin.DialPostgresWithin(addr, s.Patience+lateBy); err != nil { // a stalled pooler must not hold it
				q.Ended, q.Outcome, q.Cause = time.Now(), judge.Broken, "connect: "+err.Error()
				r.note(q, 0)
				c = nil
				continue
			}
		}
		text := r.purges.read(rng, s.Patience)
		if q.Keyed = q.Write; q.Write {
			text = standin.Write(fmt.Sprintf("%016x", rng.Uint64()), s.Patience)
		}
		text = standin.At(rng.IntN(s.Groups), text)
		var row judge.RowOp
		if s.Fleet.Shards.Keys > 0 {
			text, row = r.shards.ask(rng, q.Write, fmt.Sprintf("%016x", rng.Uint64()), s.Groups, s.Patience)
		}
		_ = c.SetDeadline(time.Now().Add(s.Patience + lateBy))
		began := time.Now()
		res := c.Do(text)
		q.Ended = time.Now()
		switch {
		case res.Err != nil:
			q.Outcome, q.Cause = judge.Broken, res.Err.Error()
			if strings.Contains(q.Cause, "timeout") {
				q.Outcome, q.Cause = judge.Silent, "no answer in time"
			}
		case q.Ended.Sub(began) > s.Patience+lateBy:
			q.Outcome, q.Cause = judge.Silent, "answered late"
		case res.Refused:
			q.Outcome = judge.Refused
		case res.Failed:
			q.Outcome, q.Cause = judge.Failed, "code "+res.Code
		}
		if q.Outcome == judge.Served && !q.Write {
			q.Made = r.purges.made(res.Value)
		}
		r.shards.note(row, q, res.Value)
		r.note(q, q.Ended.Sub(began))
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

func (r *fleetRun) report() FleetReport {
	var outages []judge.Outage
	for _, p := range r.poolers {
		p.mu.Lock()
		outages = append(outages, p.outages...)
		p.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := FleetReport{Verdict: judge.Judge(r.requests, outages, r.servers.Ledger.Overlaps()), Poolers: len(r.poolers),
		Servers: len(r.servers.Servers), Length: r.Scenario.Length, Began: r.began, Journals: r.peers.journals(r.members), P50: time.Duration(r.took.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(r.took.ValueAtQuantile(99)) * time.Microsecond, Starts: r.starts,
		Requests: r.requests, Outages: outages}
	for _, q := range r.requests {
		sec := int(q.Ended.Sub(r.began) / time.Second)
		if sec < 0 {
			continue
		}
		for len(rep.Seconds) <= sec {
			rep.Seconds = append(rep.Seconds, Counts{})
		}
		switch c := &rep.Seconds[sec]; {
		case q.Outcome == judge.Served:
			c.Served++
		case q.Outcome == judge.Refused:
			c.Refused++
		case q.Outcome == judge.Failed:
			c.Failed++
		case !q.WhileFaulting:
			c.Lost++
		}
	}
	rep.Open, rep.OpenReplicas = [3]float64{-1, 0, 0}, [3]float64{-1, 0, 0}
	replicas := 0
	for _, s := range r.servers.Servers {
		if !s.Primary() {
			replicas++
		}
	}
	spread := func(of *[3]float64, mean float64, n int) {
		if of[0] < 0 || mean < of[0] {
			of[0] = mean
		}
		of[1] += mean / float64(n)
		of[2] = max(of[2], mean)
	}
	for j, s := range r.servers.Servers {
		mean := float64(r.open[j]) / float64(max(r.samples, 1))
		if spread(&rep.Open, mean, len(r.servers.Servers)); !s.Primary() {
			spread(&rep.OpenReplicas, mean, replicas)
		}
		probed := s.ProbedAt()
		rep.Probes += len(probed)
		for _, t := range probed {
			count(&rep.ProbesBySecond, t.Sub(r.began))
		}
		for _, seen := range s.Seen() {
			for _, u := range r.ups {
				if u.server == j && !seen.At.Before(u.at) && seen.At.Sub(u.at) < time.Second {
					rep.Cold++
				}
			}
		}
	}
	n := float64(len(r.poolers))
	rep.Resident = [3]float64{r.rss[0] / n, r.rss[1] / n, r.rss[2]}
	least, most, sum := -1, 0, 0
	for _, s := range r.servers.Servers {
		n := s.Came()
		if least < 0 || n < least {
			least = n
		}
		most, sum = max(most, n), sum+n
	}
	rep.Connections = [3]float64{float64(least), float64(sum) / float64(len(r.servers.Servers)), float64(most)}
	for _, l := range r.lists {
		rep.ListCalls += l.Watches()
	}
	for i := range r.relays {
		met := make([]bool, len(r.relays[i]))
		for j, link := range r.relays[i] {
			met[j] = link.Accepted() > 0
		}
		rep.Met = append(rep.Met, met)
	}
	r.verdicts(&rep)
	for _, server := range r.servers.Servers {
		at := server.CameAt()
		for _, t := range at {
			count(&rep.NewBySecond, t.Sub(r.began))
		}
		for k, span := range []time.Duration{100 * time.Millisecond, time.Second} {
			n := float64(worst(at, span))
			worstOf := [...]*[2]float64{&rep.Worst100ms, &rep.WorstSecond}[k]
			worstOf[0] += n / float64(len(r.servers.Servers))
			worstOf[1] = max(worstOf[1], n)
		}
	}
	r.limited(&rep)
	r.purged(&rep)
	r.shards.judge(&rep, r.Scenario.Groups)
	return rep
}

// count adds one to the second in which something came; what came before the beginning is left out.
func count(bySecond *[]int, at time.Duration) {
	if at < 0 {
		return
	}
	for len(*bySecond) <= int(at/time.Second) {
		*bySecond = append(*bySecond, 0)
	}
	(*bySecond)[at/time.Second]++
}

// worst is the most of the sorted times within any span.
func worst(at []time.Time, span time.Duration) (most int) {
	from := 0
	for to := range at {
		for at[to].Sub(at[from]) >= span {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Table writes the report for a person.
func (rep FleetReport) Table(out io.Writer) {
	fmt.Fprintf(out, "%d poolers (%d starts), %d servers\n", rep.Poolers, rep.Starts, rep.Servers)
	fmt.Fprintf(out, "served %d, refused %d, failed %d, lost %d, excused by an outage of their pooler %d; overlapping attempts %d\n",
		rep.Served, rep.Refused, rep.Failed, rep.Lost, rep.Excused, rep.Overlaps)
	fmt.Fprintf(out, "served in %v at the median, %v at the 99th percentile\n", rep.P50, rep.P99)
	fmt.Fprintf(out, "new connections a server: least %.0f, mean %.1f, most %.0f; list calls %d\n",
		rep.Connections[0], rep.Connections[1], rep.Connections[2], rep.ListCalls)
	fmt.Fprintf(out, "connections open at a server, its mean over the seconds: least %.1f, mean %.1f, most %.1f\n",
		rep.Open[0], rep.Open[1], rep.Open[2])
	fmt.Fprintf(out, "the same at replicas: least %.1f, mean %.1f, most %.1f\n", rep.OpenReplicas[0], rep.OpenReplicas[1], rep.OpenReplicas[2])
	fmt.Fprintf(out, "resident memory of a pooler: %.1f MB at the first second, %.1f MB at the last, %.1f MB at most\n",
		rep.Resident[0], rep.Resident[1], rep.Resident[2])
	fmt.Fprintf(out, "probes %d; requests at servers in their first second back %d\n", rep.Probes, rep.Cold)
	fmt.Fprintf(out, "new connections at one server in its worst 100 ms: %.1f on the mean, %.0f at most; in its worst second %.1f, %.0f\n",
		rep.Worst100ms[0], rep.Worst100ms[1], rep.WorstSecond[0], rep.WorstSecond[1])
	rep.limitsTable(out)
	rep.badTable(out)
	fmt.Fprintln(out, "second  served refused failed lost")
	for i, c := range rep.Seconds {
		fmt.Fprintf(out, "%6d  %6d %7d %6d %4d\n", i, c.Served, c.Refused, c.Failed, c.Lost)
	}
	if rep.Reads > 0 {
		fmt.Fprintf(out, "reads served %d, at servers %d: %.3f of the servers' work saved\n", rep.Reads, rep.ReadsAtServers, 1-float64(rep.ReadsAtServers)/float64(rep.Reads))
	}
	if rep.Shards != nil {
		rep.Shards.table(out)
	}
	for _, p := range rep.Purges {
		fmt.Fprintf(out, "%s: noted by %d poolers, %d within a second, the first %v and the last %v behind it; stale answers %d, noted twice %d\n",
			p.Name, p.Poolers, p.InTime, p.First.Round(time.Millisecond), p.Last.Round(time.Millisecond), p.Stale, p.Twice)
	}
	for _, b := range rep.Broken {
		fmt.Fprintln(out, "BROKEN:", b)
	}
}
