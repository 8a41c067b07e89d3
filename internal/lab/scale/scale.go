// Package scale measures what one more pooler costs its fleet: a few real poolers and many hollow ones (program.Hollow), which are
// the fleet's own code without fronts, clients and connections to servers, on loopback among stand-in servers. It decides nothing.
//
// What is counted is payload at the sockets. Hollow poolers share processes, so that their processor time and memory are a
// process's, shared out; what real ones take stands beside it.
package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"threadsail/internal/capacity"
	"threadsail/internal/config"
	"threadsail/internal/fleet/consensus"
	"threadsail/internal/lab"
	"threadsail/internal/lab/standin"
)

// The mechanisms by which what all share reaches all.
const (
	Gossip       = "gossip"       // membership's packets, from each to each
	Distribution = "distribution" // a stream from each to one of some distributors
)

// The phases of a play, in their order.
const (
	Join      = "join"      // all start at once
	Rest      = "rest"      // nothing happens
	Change    = "change"    // a document is written each 21.6 s, as 4000 in a day
	Changes60 = "changes60" // 60 in a minute
	Restart   = "restart"   // a pooler ends and starts again each 18 s
	Loss5     = "loss5"     // 5% of all are killed at once
)

// Phases are all of them.
var Phases = []string{Join, Rest, Change, Changes60, Restart, Loss5}

const (
	changeEvery   = 21600 * time.Millisecond
	restartEvery  = 18 * time.Second
	lossShare     = 0.05
	stewards      = 3
	regions       = 3 // of distributors and their poolers
	term          = 3 * time.Second
	settleEach    = 250 * time.Millisecond // a member tells its news no more often than 200 ms times the fleet: those of the join are no rest
	forceGrace    = 10 * time.Second       // for the last change of a phase to come into force everywhere
	knowEvery     = time.Second            // looks who knows all
	putFor        = 5 * time.Second
	mostSize      = 5000
	mostProcesses = 290
	memoryShare   = 0.5 // of the machine's, for all that runs
)

// Options of a run.
type Options struct {
	Mechanism string
	// Distributors: of Distribution, the first so many poolers; the stewards are among them.
	Distributors int
	Sizes        []int // poolers, real and hollow together, rising
	Plays        int   // at each size
	Real         int   // processes of the pooler itself, the first of which are the stewards; 0: hollow ones are
	Children     int   // processes of hollow poolers, of one core each, besides the one of those that are killed
	Window       time.Duration
	Settle       time.Duration // from when all know all to the first phase, and settleEach for each pooler
	JoinOver     time.Duration // over which the hollow ones start; 0: all at once
	JoinMost     time.Duration // a fleet that does not know itself after it is measured all the same
	Most         time.Duration // the run ends after it, with what it has measured
	Fill         int           // bytes of a changed document's value, about
	Phases       []string      // Join is always played; empty: all
	Pooler       func() *exec.Cmd
	Hollow       func() *exec.Cmd // a process that runs Hollow on its standard input and output
	Progress     func(line string)
	Stop         <-chan struct{} // closed: the run ends, with the plays that are whole
}

// Report is what a run measured.
type Report struct {
	Rows  []capacity.Row  `json:"Rows"`
	Notes []string        `json:"Notes"` // what was not measured, and why
	Took  []time.Duration `json:"Took"`  // by play
}

// errStopped tells that a play was cut short.
var errStopped = errors.New("stopped before its end")

// play is one play at one size.
type play struct {
	Options
	h        standin.Host
	stop     <-chan struct{}
	size     int
	dir      string
	block    lab.Block
	files    *standin.Fleet
	reals    []*realPooler
	children []*child // the last one's poolers are killed in Loss5
	store    *consensus.ClientPool
	version  uint64 // of the changed document
	changes  int
	written  map[int]time.Time // when the writing of the phase's changes began
	values   values
	notes    []string
	began    time.Time
}

// Run measures all sizes. What it has started has ended when it returns, whatever it returns.
func Run(h standin.Host, o Options) (Report, error) {
	var rep Report
	growth := 2. // a pooler holds a view of all, so that their memory together may grow with the square of the size
	switch o.Mechanism {
	case Gossip:
		o.Distributors = 0
	case Distribution:
		growth = 1
		if o.Distributors < stewards {
			return rep, fmt.Errorf("%d distributors, %d at the least", o.Distributors, stewards)
		}
	default:
		return rep, fmt.Errorf("mechanism %q is not known", o.Mechanism)
	}
	if o.Plays < 1 || o.Children < 1 || o.Real < 0 || o.Real > 0 && o.Real < stewards || o.Real+o.Children > mostProcesses {
		return rep, fmt.Errorf("%d plays, %d real poolers (none, or %d at the least), %d processes of hollow ones: not above 0, or more than %d processes", o.Plays, o.Real, stewards, o.Children, mostProcesses)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Most)
	defer cancel()
	if o.Stop != nil {
		go func() {
			select {
			case <-o.Stop:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	total, _, err := memory()
	if err != nil {
		return rep, err
	}
	var took, before float64 // memory of hollow poolers at the size before, and that size
	for _, size := range o.Sizes {
		if size > mostSize || size < o.Real+1 || size < max(stewards, o.Distributors) {
			return rep, fmt.Errorf("size %d: not from %d to %d", size, max(o.Real+1, stewards, o.Distributors), mostSize)
		}
		want := took * math.Pow(float64(size)/max(before, 1), growth)
		if _, free, err := memory(); err != nil || want > memoryShare*float64(total) || want > float64(free) {
			rep.note(o, "size %d is refused: %.1f GB may be needed by what %0.f took; half of the machine's is %.1f, %.1f are free", size, want/(1<<30), before, memoryShare*float64(total)/(1<<30), float64(free)/(1<<30))
			break
		}
		var plays []values
		for n := range o.Plays {
			p := &play{Options: o, h: h, stop: ctx.Done(), size: size, values: values{}, began: time.Now()}
			p.say("%d poolers, play %d of %d", size, n+1, o.Plays)
			err := p.run()
			rep.Notes = append(rep.Notes, p.notes...)
			if err != nil {
				rep.add(o, size, plays)
				if errors.Is(err, errStopped) || ctx.Err() != nil {
					rep.note(o, "size %d, play %d: %v after %.0f s; what it measured is left out, with the sizes and plays behind it", size, n+1, errStopped, time.Since(p.began).Seconds())
					return rep, nil
				}
				return rep, err
			}
			plays = append(plays, p.values)
			rep.Took = append(rep.Took, time.Since(p.began).Round(time.Second))
			took, before = max(took, p.values[cell{Rest, roleAll, kindHollow, "rss", "B"}]), float64(size)
		}
		rep.add(o, size, plays)
	}
	return rep, nil
}

func (r *Report) note(o Options, format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.Notes = append(r.Notes, line)
	if o.Progress != nil {
		o.Progress(line)
	}
}

func (p *play) say(format string, args ...any) {
	if p.Progress != nil {
		p.Progress(fmt.Sprintf("%6.1f s  %s", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...)))
	}
}

func name(i int) string { return fmt.Sprint("n", i+1) }

// fleetFile is what a pooler's file of the fleet holds, real or hollow.
func (p *play) fleetFile(i int) map[string]any {
	var founders, peers []config.Peer
	for j := range stewards {
		founders = append(founders, config.Peer{Name: name(j), Addr: p.block.Addr(j, lab.StewardPort)})
		if j != i {
			peers = append(peers, config.Peer{Name: name(j), Addr: p.block.Addr(j, lab.GossipPort)})
		}
	}
	dir := filepath.Join(p.dir, name(i))
	file := map[string]any{"enabled": true, "name": name(i), "listen": p.block.Addr(i, lab.GossipPort), "peers": peers, "stewards": founders,
		"term_ms": term.Milliseconds(), "shared_addresses": true, "journal": map[string]any{"file": filepath.Join(dir, "acts")},
		"shared": config.ReplicaConfig{Dir: filepath.Join(dir, "shared")}}
	if p.Mechanism == Distribution {
		region := func(i int) string { return fmt.Sprint("region", i%regions) }
		d := config.DistributionConfig{Region: region(i)}
		for j := range p.Distributors {
			d.Distributors = append(d.Distributors, config.Distributor{Name: name(j), Addr: p.block.Addr(j, lab.StreamPort), Region: region(j)})
		}
		if i < p.Distributors {
			d.Listen = p.block.Addr(i, lab.StreamPort)
		}
		file["distribution"] = d
	}
	if i < stewards {
		file["steward"] = config.VoterConfig{Listen: p.block.Addr(i, lab.StewardPort), Dir: filepath.Join(dir, "steward")}
	}
	return file
}

// scope is the host of one play: what it has started ends with it.
type scope struct {
	standin.Host
	dir      string
	cleanups []func()
}

func (s *scope) Cleanup(f func()) { s.cleanups = append(s.cleanups, f) }

func (s *scope) TempDir() string {
	dir, err := os.MkdirTemp(s.dir, "")
	if err != nil {
		s.Fatal(err)
	}
	return dir
}

func (s *scope) end() {
	for _, f := range slices.Backward(s.cleanups) {
		f()
	}
	_ = os.RemoveAll(s.dir)
}

// run plays one play and ends all that it has started.
func (p *play) run() (err error) {
	if p.dir, err = os.MkdirTemp("", "threadsail-lab-scale-"); err != nil {
		return err
	}
	s := &scope{Host: p.h, dir: p.dir}
	defer s.end()
	defer p.end()
	if err := p.prepare(s); err != nil {
		return err
	}
	ended := make(chan struct{})
	var watching sync.WaitGroup
	defer watching.Wait()
	defer close(ended)
	watching.Go(func() { // an ask that is under way ends with its process
		select {
		case <-p.stop:
			for _, c := range p.children {
				_ = c.cmd.Process.Kill()
			}
		case <-ended:
		}
	})
	return p.phases()
}

func (p *play) end() {
	if p.store != nil {
		p.store.Close()
	}
	for _, c := range p.children {
		c.end()
	}
	for _, r := range p.reals {
		r.end()
	}
}

// prepare writes all files and starts the processes of hollow poolers, which have none yet.
func (p *play) prepare(s *scope) error {
	p.block = lab.ClaimBlock(s)
	p.files = standin.NewFleet(s, false, func(settings map[string]any) { settings["balancers"] = p.size }, "db1", "db2", "db3", "db4")
	p.files.Roles = true
	for j, server := range p.files.Servers {
		server.Cell = 0
		server.Set(j == 0, 0)
	}
	p.files.List()
	var founders []consensus.Peer
	for j := range stewards {
		founders = append(founders, consensus.Peer{Name: name(j), Addr: p.block.Addr(j, lab.StewardPort)})
	}
	p.store = consensus.NewClientPool(1, "threadsail-lab-scale", founders, putFor)
	var hollows []hollow
	for i := range p.size {
		if err := os.Mkdir(filepath.Join(p.dir, name(i)), 0o700); err != nil {
			return err
		}
		if i < p.Real {
			continue
		}
		path := filepath.Join(p.dir, name(i)+".json")
		text, err := json.Marshal(p.fleetFile(i))
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			return err
		}
		hollows = append(hollows, hollow{Name: name(i), Seed: rand.Uint64(), Fleet: path})
	}
	lost := 0
	if p.plays(Loss5) {
		lost = max(min(int(math.Ceil(lossShare*float64(p.size))), len(hollows)-stewards), 0)
	}
	living := hollows[:len(hollows)-lost]
	shares := slices.Collect(slices.Chunk(living, (len(living)+p.Children-1)/p.Children))
	if lost > 0 {
		shares = append(shares, hollows[len(living):])
	}
	for _, share := range shares {
		c, err := startChild(p.Hollow(), 1)
		if err != nil {
			return err
		}
		c.poolers = share
		p.children = append(p.children, c)
		base, err := c.sample()
		if err != nil {
			return err
		}
		c.base = base.Process
	}
	return nil
}

func (p *play) plays(phase string) bool {
	return len(p.Phases) == 0 || slices.Contains(p.Phases, phase)
}
