package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"threadsail/internal/lab/scenario"
	"time"

	"threadsail/internal/fleet/shardmap"
	"threadsail/internal/lab/faults"
	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/standin"
)

// shards is what a run does with a shard map: the first half of the first group's keys goes to the second group and back, a move at
// each reshard. The zero value does nothing.
type shards struct {
	scenario.Shards
	rows  *standin.Shards
	moves []map[string]any // as the operators' files order them

	mu    sync.Mutex
	ops   []judge.RowOp
	met   map[int]bool // faults that have come, by their index
	later []later
}

// later is a step that the main loop carries out at a time.
type later struct {
	at   time.Time
	step faults.Step
	done chan struct{}
}

// Shards is what came of a shard map, by clients and stand-ins.
type Shards struct {
	Acts         []shardmap.Act `json:"Acts"`
	Moved        int            `json:"Moved"`      // closes carried out
	Rejected     int            `json:"TurnedAway"` // writes that a server turned away for their epoch
	Rows         int            `json:"Rows"`       // writes and fresh reads, all outcomes
	LongestPause time.Duration  `json:"Gap"`        // the longest time without a served write of the moving range
}

// movers is how many poolers stand for taking moves on.
const movers = 6

// hold bounds how long an act waits for the fault that is to meet it.
const hold = 2 * time.Second

func key(n int) string { return fmt.Sprintf("k%03d", n) }

func (s *shards) open(h standin.Host, servers []*standin.Server) {
	if s.Keys == 0 {
		return
	}
	s.met = map[int]bool{}
	s.rows = standin.NewShards(h)
	s.rows.Lenient = s.Lenient
	s.rows.Told = func(i shardmap.Instruction) { s.meet(i.Move.Name, string(i.Act), i.Holder) }
	for _, server := range servers {
		s.rows.Serve(server)
	}
}

// into puts the map and the orders so far into a pooler's file of the fleet.
func (s *shards) into(file map[string]any, pooler, groups int, term time.Duration) {
	if s.Keys == 0 {
		return
	}
	var ranges []map[string]any
	for g := range groups {
		r := map[string]any{"cluster": g}
		if g > 0 {
			r["from"] = key((g*s.Keys + groups - 1) / groups)
		}
		if g < groups-1 {
			r["to"] = key(((g+1)*s.Keys + groups - 1) / groups)
		}
		ranges = append(ranges, r)
	}
	part := map[string]any{"ranges": ranges, "fenced_ms": (4 * term).Milliseconds(), "moves": s.moves}
	if pooler < movers {
		part["copier"] = s.rows.URL
	}
	file["shards"] = part
}

// moving tells whether a key is of the range that moves.
func (s *shards) moving(k string, groups int) bool { return k < key(s.Keys/groups/2) }

// reshard orders the next move.
func (s *shards) reshard(groups int) {
	n := len(s.moves)
	s.moves = append(s.moves, map[string]any{"name": fmt.Sprint("move-", n+1), "from": "", "to": key(s.Keys / groups / 2), "source": n % 2, "target": 1 - n%2})
}

// meet has the faults come that wait for an act of a move, and waits until they have.
func (s *shards) meet(move, act, holder string) {
	var number, mover int
	_, _ = fmt.Sscanf(move, "move-%d", &number)
	_, _ = fmt.Sscanf(holder, "n%d", &mover)
	for n, f := range s.Faults {
		if f.Move != number || f.On != act {
			continue
		}
		step := faults.Step{Act: f.Act, Poolers: f.Poolers, For: f.Duration}
		if f.Coordinator {
			step.Poolers = []int{mover - 1}
		}
		l := later{at: time.Now(), step: step, done: make(chan struct{})}
		s.mu.Lock()
		met := s.met[n]
		s.met[n] = true
		if !met {
			s.later = append(s.later, l)
		}
		s.mu.Unlock()
		if !met {
			select {
			case <-l.done:
			case <-time.After(hold):
			}
		}
	}
}

// heard looks for moves that are prepared in a pooler's log: nothing else tells of them in time.
func (s *shards) heard(pooler int, line string) {
	if s.Keys > 0 && strings.Contains(line, "shardmap: order is carried out") {
		if _, rest, ok := strings.Cut(line, `"move":"`); ok {
			name, _, _ := strings.Cut(rest, `"`)
			go s.meet(name, "prepared", fmt.Sprint("n", pooler+1))
		}
	}
}

// due is the steps that are to be carried out now.
func (s *shards) due() (out []later) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.later = slices.DeleteFunc(s.later, func(l later) bool {
		due := !time.Now().Before(l.at)
		if due {
			out = append(out, l)
		}
		return due
	})
	return out
}

// came has a fault of some length end in its time.
func (s *shards) came(l later) {
	if l.done != nil {
		close(l.done)
	}
	if l.step.For > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.later = append(s.later, later{at: time.Now().Add(l.step.For), step: faults.Step{Act: l.step.Act.Undo(), Poolers: l.step.Poolers}})
	}
}

// ask is a client's next statement on a row: a write, a read that sees all writes before it, or a read of any member.
func (s *shards) ask(rng *rand.Rand, write bool, id string, groups int, patience time.Duration) (text string, op judge.RowOp) {
	n := rng.IntN(s.Keys)
	op = judge.RowOp{Key: key(n), Write: write}
	if write {
		op.Value = id
		text = strings.Replace(standin.Write(id, patience), "('u1', 'x')", fmt.Sprintf("('%s', '%s')", op.Key, id), 1)
	} else {
		class := "write"
		if rng.IntN(2) == 0 {
			class, op.Key = "any", ""
		}
		text = strings.Replace(standin.Read(class, patience), "'u1'", "'"+key(n)+"'", 1)
	}
	return standin.At(n*groups/s.Keys, text), op
}

// note keeps what became of one; reads of any member are not judged.
func (s *shards) note(op judge.RowOp, q judge.Request, value string) {
	if op.Key == "" {
		return
	}
	if !op.Write {
		op.Value = value
	}
	op.Began, op.Ended, op.Outcome = q.BeganAt, q.EndedAt, q.Outcome
	s.mu.Lock()
	defer s.mu.Unlock()
	op.Client = len(s.ops) // any number: porcupine goes by times
	s.ops = append(s.ops, op)
}

// judgeMost bounds the search for an order of what clients were told.
const judgeMost = 20 * time.Second

// judge fills in what came of it.
func (s *shards) judge(rep *FleetReport, groups int) {
	if s.Keys == 0 {
		return
	}
	rep.Shards = &Shards{Rows: len(s.ops)}
	rep.Shards.Rejected, rep.Shards.Acts = s.rows.Count()
	for _, a := range rep.Shards.Acts {
		if a == shardmap.ActClose {
			rep.Shards.Moved++
		}
	}
	var served []time.Time
	for _, op := range s.ops {
		if op.Write && op.Outcome == judge.Served && s.moving(op.Key, groups) {
			served = append(served, op.Ended)
		}
	}
	slices.SortFunc(served, time.Time.Compare)
	for i := 1; i < len(served); i++ {
		rep.Shards.LongestPause = max(rep.Shards.LongestPause, served[i].Sub(served[i-1]))
	}
	if fine, unknown := judge.Rows(s.ops, judgeMost); !fine {
		rep.Broken = append(rep.Broken, map[bool]string{true: "rows: no verdict in time", false: "rows: what clients were told is no one copy's"}[unknown])
	}
}

func (s Shards) table(out io.Writer) {
	fmt.Fprintf(out, "shards: %d moves done, acts %v; %d writes and fresh reads, %d turned away by servers; longest time without a write of the moving range %v\n",
		s.Moved, s.Acts, s.Rows, s.Rejected, s.LongestPause.Round(time.Millisecond))
}
