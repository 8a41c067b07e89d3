// Package faults is the fleet laboratory's schedule: which fault is put on which processes and links when, and when it is
// taken off again. It does no I/O and reads no clock: the laboratory asks it what is due at a time it has measured.
package faults

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Act is what a step does.
type Act string

// The acts. Those on poolers are signals and restarts; those on links between poolers and servers are faults of the
// relay; those on servers are the stand-ins' own.
const (
	Kill    Act = "kill"    // SIGKILL the poolers; For: restarted after it
	Stop    Act = "stop"    // SIGSTOP, a holder that stalls; For: SIGCONT after it
	Cont    Act = "cont"    // SIGCONT
	Term    Act = "term"    // SIGTERM, as a roll does; For: restarted after it
	Restart Act = "restart" // start again those that have ended
	Hup     Act = "hup"     // SIGHUP: read the configuration again
	Retune  Act = "retune"  // a new configuration, the same for all that get it, and SIGHUP
	NoList  Act = "nolist"  // the poolers' list services answer 503 and end their watches; For: they answer again after it
	Lists   Act = "lists"   // they answer again
	Cut     Act = "cut"     // links from the poolers to the servers drop all: a partition; For: healed after it
	OneWay  Act = "oneway"  // links pass requests and drop answers; For: healed after it
	Delay   Act = "delay"   // links hold each piece back by Delay, up to Jitter more; For: healed after it
	Reset   Act = "reset"   // links reset what is open and what comes; For: healed after it
	Heal    Act = "heal"    // links pass all again
	Down    Act = "down"    // servers refuse and break their connections; For: up after it
	Up      Act = "up"      // servers listen again
	Err     Act = "err"     // servers answer each statement with an error; For: right again after it
	Right   Act = "right"   // they answer as ever
	Promote Act = "promote" // the one server named becomes primary, all others of its group replicas
	Replace Act = "replace" // a new server, a replica, takes each one's place under a new name; the old goes down
	Drain   Act = "drain"   // the lists say that servers drain; For: that they are ready again after it
	Ready   Act = "ready"   // the lists say that they are ready
	Full    Act = "full"    // files of the poolers' processes may not be written: a full disk; For: they may again after it
	Room    Act = "room"    // they may again
	Machine Act = "machine" // the poolers' machines drop: all links first, then all processes; For: booted after it
	Boot    Act = "boot"    // those machines are there again, and their processes started
	Isolate Act = "isolate" // links between the poolers and all other poolers, stewards among them, drop all; For: rejoined after it
	Lag     Act = "lag"     // links of the poolers to all other poolers hold each piece back by Delay, up to Jitter more; For: rejoined after it
	Mute    Act = "mute"    // what the poolers say to all other poolers is lost, what these say arrives; For: rejoined after it
	Deaf    Act = "deaf"    // what all other poolers say to them is lost, what they say arrives; For: rejoined after it
	Wipe    Act = "wipe"    // SIGKILL the poolers, and their disks lose the fleet's copy; For: restarted after it
	Rejoin  Act = "rejoin"  // those links pass all again
	Move    Act = "move"    // the poolers get a new list service, named in their configuration, and a SIGHUP
	Closes  Act = "closes"  // the poolers' files get a newer plan, by which all sites close Delay from now, and a SIGHUP
	Reshard Act = "reshard" // the poolers' files get an order to move a range of keys, and a SIGHUP
	Order   Act = "order"   // the poolers' files get an order to purge all sites, and a SIGHUP
)

var acts = []Act{Kill, Stop, Cont, Term, Restart, Hup, Retune, NoList, Lists, Cut, OneWay, Delay, Reset, Heal, Down, Up, Err, Right, Promote, Replace, Drain, Ready, Full, Room, Machine, Boot, Isolate, Lag, Mute, Deaf, Wipe, Rejoin, Move, Closes, Order, Reshard}

// undo is the step that ends a fault of some length.
var undo = map[Act]Act{Kill: Restart, Term: Restart, Stop: Cont, Cut: Heal, OneWay: Heal, Delay: Heal, Reset: Heal, Down: Up, Err: Right, Drain: Ready,
	Full: Room, Machine: Boot, Isolate: Rejoin, Lag: Rejoin, Mute: Rejoin, Deaf: Rejoin, Wipe: Restart, NoList: Lists}

// Undo is the act that ends a fault of some length; empty: it has none.
func (a Act) Undo() Act { return undo[a] }

// Ends tells whether the act ends faults that another began.
func (a Act) Ends() bool {
	return a == Restart || a == Cont || a == Room || a == Boot || a == Heal || a == Up || a == Right || a == Rejoin || a == Lists || a == Ready
}

// OnLinks tells whether the act is on links between poolers and servers.
func (a Act) OnLinks() bool {
	return a == Cut || a == OneWay || a == Delay || a == Reset || a == Heal
}

// OnPeers tells whether the act is on links between poolers.
func (a Act) OnPeers() bool {
	return a == Isolate || a == Lag || a == Mute || a == Deaf || a == Rejoin
}

// OnPurges tells whether the act is on the operators' files of purges.
func (a Act) OnPurges() bool { return a == Closes || a == Order }

// Step is one act at one time, on sets of poolers and servers, each by its index from 0.
type Step struct {
	At            time.Duration // from the start of the run
	Act           Act
	Poolers       []int
	Servers       []int
	For           time.Duration // how long the fault lasts; 0: until another step ends it
	Delay, Jitter time.Duration // of Delay and Lag; of Closes, Delay
	// Holder stands for Poolers: whoever holds the fleet's list duty when the step comes, as the laboratory sees it. A fault's
	// end has the index of its beginning, and is for the same pooler.
	Holder bool
	// Dealer is the same for whoever deals the fleet's limits.
	Dealer bool
	Index  int // of the step as given
}

// Plan is the sorted list of steps, the ends of faults with a length among them.
type Plan struct {
	steps []Step
	next  int
}

// New checks steps against the sizes of the fleet, adds the step that ends each fault of some length, and sorts them by
// time, steps of one time in the order given. The error names the step by its index and what is wrong with it.
func New(steps []Step, poolers, servers int) (*Plan, error) {
	var all []Step
	for i, s := range steps {
		if err := s.check(poolers, servers); err != nil {
			return nil, fmt.Errorf("steps[%d].%w", i, err)
		}
		s.Index = i
		all = append(all, s)
		if s.For > 0 {
			all = append(all, Step{At: s.At + s.For, Act: undo[s.Act], Poolers: s.Poolers, Servers: s.Servers, Holder: s.Holder, Dealer: s.Dealer, Index: i})
		}
	}
	slices.SortStableFunc(all, func(a, b Step) int { return int(a.At - b.At) })
	return &Plan{steps: all}, nil
}

func (s Step) check(poolers, servers int) error {
	if !slices.Contains(acts, s.Act) {
		return fmt.Errorf("act: %q is none of %v", s.Act, acts)
	}
	if s.At < 0 || s.For < 0 || s.Delay < 0 || s.Jitter < 0 {
		return fmt.Errorf("at_ms: times are not below 0")
	}
	if _, ok := undo[s.Act]; s.For > 0 && !ok {
		return fmt.Errorf("for_ms: %s lasts no time", s.Act)
	}
	onLinks := s.Act.OnLinks()
	onServers := s.Act == Down || s.Act == Up || s.Act == Err || s.Act == Right || s.Act == Promote || s.Act == Replace || s.Act == Drain || s.Act == Ready
	switch {
	case (onLinks || !onServers) && len(s.Poolers) == 0 && !s.Holder && !s.Dealer:
		return fmt.Errorf("poolers: %s needs some", s.Act)
	case (onLinks || onServers) && len(s.Servers) == 0:
		return fmt.Errorf("servers: %s needs some", s.Act)
	case s.Act == Promote && len(s.Servers) != 1:
		return fmt.Errorf("servers: promote takes one")
	}
	for _, p := range s.Poolers {
		if p < 0 || p >= poolers {
			return fmt.Errorf("poolers: %d is not below %d", p, poolers)
		}
	}
	for _, v := range s.Servers {
		if v < 0 || v >= servers {
			return fmt.Errorf("servers: %d is not below %d", v, servers)
		}
	}
	return nil
}

// Due takes off the steps whose time has come by elapsed, in order.
func (p *Plan) Due(elapsed time.Duration) []Step {
	from := p.next
	for p.next < len(p.steps) && p.steps[p.next].At <= elapsed {
		p.next++
	}
	return p.steps[from:p.next]
}

// Next is the time of the next step, and whether there is one.
func (p *Plan) Next() (time.Duration, bool) {
	if p.next == len(p.steps) {
		return 0, false
	}
	return p.steps[p.next].At, true
}

// Pick reads a set of indices below n: "all", a share such as "70%" drawn by rng, or a list of indices and ranges such as
// "0-3,7" or, by shares of n, "10%-20%". The error says what is wrong with spec.
func Pick(spec string, n int, rng *rand.Rand) ([]int, error) {
	spec = strings.TrimSpace(spec)
	switch {
	case spec == "":
		return nil, nil
	case spec == "all":
		return count(0, n), nil
	case strings.HasSuffix(spec, "%") && !strings.Contains(spec, "-"):
		share, err := strconv.ParseFloat(strings.TrimSuffix(spec, "%"), 64)
		if err != nil || share <= 0 || share > 100 {
			return nil, fmt.Errorf("%q is no share from 0 to 100%%", spec)
		}
		all := count(0, n)
		rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
		picked := all[:max(1, int(float64(n)*share/100+0.5))]
		slices.Sort(picked)
		return picked, nil
	}
	var out []int
	for part := range strings.SplitSeq(spec, ",") {
		first, last, isRange := strings.Cut(strings.TrimSpace(part), "-")
		a, err := strconv.Atoi(first)
		b := a
		if err == nil && isRange {
			b, err = strconv.Atoi(last)
		}
		if from, to, ok := shares(first, last); isRange && ok { // "10%-20%": the second tenth, whatever n is
			a, b, err = int(math.Round(from*float64(n)/100)), int(math.Round(to*float64(n)/100))-1, nil
		}
		if err != nil || a < 0 || b < a || b >= n {
			return nil, fmt.Errorf("%q: %q names no indices below %d", spec, part, n)
		}
		out = append(out, count(a, b+1)...)
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}

// shares reads a range of shares such as "10%" and "20%".
func shares(first, last string) (from, to float64, ok bool) {
	if !strings.HasSuffix(first, "%") || !strings.HasSuffix(last, "%") {
		return 0, 0, false
	}
	from, err1 := strconv.ParseFloat(strings.TrimSuffix(first, "%"), 64)
	to, err2 := strconv.ParseFloat(strings.TrimSuffix(last, "%"), 64)
	return from, to, err1 == nil && err2 == nil && from >= 0 && from < to && to <= 100
}

func count(from, to int) []int {
	out := make([]int, 0, to-from)
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}
