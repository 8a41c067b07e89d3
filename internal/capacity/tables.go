package capacity

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// NotMeasured stands where there is no record.
const NotMeasured = "not measured"

const day = 86400.0 // s

// page is what the tables are made of.
type page struct {
	Plan
	n      float64 // poolers
	slopes map[Key]Slope
	runs   []Run
	used   map[Key]bool // slopes that a table holds
}

// Tables are the page's, in its order. They hold no figure that is not the plan's, a constant of the code's, or a record's.
func Tables(p Plan, r Recorded) []Table {
	g := &page{Plan: p, n: float64(p.Poolers), slopes: r.Slopes, runs: r.Runs, used: map[Key]bool{}}
	return []Table{g.plan(), g.first(), g.control(), g.alone(), g.measured(), g.kinds(), g.roles(), g.rows(), g.faults(), g.regions(), g.machines(), g.order(),
		g.lines(), g.records()} // lines are those that the tables before have used
}

func (g *page) plan() Table {
	perPooler, zones := float64(g.Clients)/g.n, g.Zones()
	failed := float64(g.Machines.Count)
	return Table{"plan", []string{"what", "the operators' number", "what follows by division"}, [][]string{
		{"poolers", digits(g.n), fmt.Sprintf("%d a zone, %s in the largest region", g.InZone(g.Poolers), digits(float64(g.InRegion(g.Poolers))))},
		{"databases", digits(float64(g.Databases)), fmt.Sprintf("%d a zone; %s groups of %d (assumed)", g.InZone(g.Databases), digits(float64(g.Groups())), g.Assumed.Group)},
		{"client connections", digits(float64(g.Clients)), digits(perPooler) + " a pooler"},
		{"statements", quantity(g.Statements, "1/s"), fmt.Sprintf("%s a pooler, %s a database", quantity(g.Statements/g.n, "1/s"), quantity(g.Statements/float64(g.Databases), "1/s"))},
		{"regions and zones", fmt.Sprintf("%d and %d", len(g.Regions), zones), fmt.Sprintf("zones of each region: %s", join(g.Regions))},
		{"changes of primary", digits(g.PrimaryChanges.PerDay) + " a day", fmt.Sprintf("one in %s h; each over within %s", digits(24/g.PrimaryChanges.PerDay), quantity(g.PrimaryChanges.Within, "s"))},
		{"changes of configuration", digits(g.ConfigChanges.PerDay) + " a day", fmt.Sprintf("one in %s; each in force within %s", quantity(day/g.ConfigChanges.PerDay, "s"), quantity(g.ConfigChanges.Within, "s"))},
		{"control, a pooler", fmt.Sprintf("%s of a core, %s, %s", quantity(g.Control.Core, "core"), quantity(g.Control.Memory, "B"), quantity(g.Control.Bytes, "B/s")),
			fmt.Sprintf("%s cores and %s for all poolers together", digits(g.Control.Core*g.n), quantity(g.Control.Bytes*g.n, "B/s"))},
		{"machines for control", fmt.Sprintf("%d", g.Machines.Count), fmt.Sprintf("%s cores, %s, %s and %s descriptors each (assumed): %s poolers on each", digits(g.Machines.Cores), quantity(g.Machines.Memory, "B"),
			quantity(g.Machines.Bytes, "B/s"), digits(float64(g.Machines.Descriptors)), digits(math.Ceil(g.n/failed)))},
		{"machines that fail", digits(g.Faults.MachinesPerDay) + " a day", fmt.Sprintf("one in %s min", digits(1440/g.Faults.MachinesPerDay))},
		{"restarts and replacements", digits(g.Faults.RestartsPerDay) + " a day", fmt.Sprintf("one in %s; %d in the worst minute, %s", quantity(day/g.Faults.RestartsPerDay, "s"), g.Faults.RestartsAtOnce, quantity(float64(g.Faults.RestartsAtOnce)/60, "1/s"))},
		{"racks or switches", digits(g.Faults.RacksPerWeek) + " a week", fmt.Sprintf("%d poolers at once (machines a rack: %d, poolers a machine: %d; assumed)", g.InRack(), g.Assumed.HostsPerRack, g.Assumed.PoolersPerHost)},
		{"zones", digits(g.Faults.ZonesPerYear) + " a year", fmt.Sprintf("%d poolers and %d databases at once", g.InZone(g.Poolers), g.InZone(g.Databases))},
		{"regions partitioned", "now and then", quantity(g.Faults.Apart/60, "min") + " each time"},
	}}
}

func join(n []int) string {
	var out []string
	for _, v := range n {
		out = append(out, fmt.Sprint(v))
	}
	return strings.Join(out, ", ")
}

// The mechanisms that the page sets beside each other, and the order of what they were measured in.
var (
	mechanisms = []string{"gossip", "distribution"}
	phases     = []string{"rest", "change", "changes60", "restart", "loss5", "join"}
)

// reading is a figure that may be a sum of several: bytes in and out.
type reading []Slope

// pick is the figure's slope over poolers, of those seen at the largest size: of traffic that of the many hollow poolers, of what a
// process takes that of the real ones.
func (g *page) pick(mechanism, phase, role string, figures ...string) (r reading) {
	for _, figure := range figures {
		kinds := []string{"pooler", "hollow"}
		if strings.HasPrefix(figure, "bytes") || strings.HasPrefix(figure, "messages") {
			slices.Reverse(kinds)
		}
		var best *Slope
		for _, kind := range kinds {
			if s, ok := g.slopes[Key{mechanism, phase, role, kind, figure, "pooler"}]; ok && (best == nil || s.Last.Size > best.Last.Size) {
				best = &s
			}
		}
		if best == nil {
			return nil
		}
		r = append(r, *best)
	}
	for _, s := range r {
		g.used[s.Key] = true
	}
	return r
}

func (r reading) at(n float64) (v float64, ok bool) {
	for _, s := range r {
		part, known := s.At(n)
		if !known {
			return v, false
		}
		v += part
	}
	return v, len(r) > 0
}

// farthest is up to how many times the largest size seen a line is said to hold: beyond that it says nothing.
const farthest = 50

// until is as Slope.Until, with the size in words.
func (r reading) until(limit float64, of string) (n float64, text string, ok bool) {
	var sum Slope
	for _, s := range r {
		if s.Growth == Alone {
			return 0, "", false
		}
		sum.Base, sum.Each, sum.Last.Median = sum.Base+s.Base, sum.Each+s.Each, sum.Last.Median+s.Last.Median
	}
	if n, ok = sum.Until(limit); !ok {
		return 0, "", false
	}
	text = digits(math.Floor(n)) + " " + of
	switch {
	case n < float64(r[0].First.Size):
		text = "fewer than " + digits(float64(r[0].First.Size)) + " " + of
	case n > farthest*float64(r[0].Last.Size):
		text = "over " + digits(farthest*float64(r[0].Last.Size)) + " " + of
	case r.growth() == Worse && n > float64(r[0].Last.Size):
		text = "at most " + text
	}
	return n, text, true
}

func (r reading) growth() (worst Growth) {
	worst = Flat
	for _, s := range r {
		order := []Growth{Flat, Unsure, Linear, Worse, Alone}
		if slices.Index(order, s.Growth) > slices.Index(order, worst) {
			worst = s.Growth
		}
	}
	return worst
}

// seen is the largest size at which it was measured, with what was measured there.
func (r reading) seen() string {
	var least, median, most float64
	for _, s := range r {
		least, median, most = least+s.Last.Least, median+s.Last.Median, most+s.Last.Most
	}
	unit := r[0].Unit
	if r[0].Last.Plays == 1 {
		return fmt.Sprintf("%s (one run) at %s", quantity(median, unit), digits(float64(r[0].Last.Size)))
	}
	return fmt.Sprintf("%s (%s to %s) at %s", quantity(median, unit), quantity(least, unit), quantity(most, unit), digits(float64(r[0].Last.Size)))
}

func (r reading) line() string {
	if r.growth() == Alone {
		return NotMeasured + " at another size"
	}
	var base, each float64
	for _, s := range r {
		base, each = base+s.Base, each+s.Each
	}
	sign := "+"
	if each < 0 {
		sign, each = "-", -each
	}
	return fmt.Sprintf("%s %s %s each", quantity(base, r[0].Unit), sign, quantity(each, r[0].Unit))
}

// value is what follows at a size, marked where the line is known to tell too little.
func (r reading) value(n float64) string {
	v, ok := r.at(n)
	switch {
	case len(r) == 0:
		return NotMeasured
	case !ok:
		return NotMeasured + " beyond " + digits(float64(r[0].Last.Size))
	case r.growth() == Worse && n > float64(r[0].Last.Size):
		return "at least " + quantity(v, r[0].Unit)
	}
	return quantity(v, r[0].Unit)
}

// budget is one thing that control may spend at a pooler.
type budget struct {
	name    string
	figures []string
	limit   float64
	unit    string
}

func (g *page) budgets() []budget {
	return []budget{
		{"processor", []string{"cpu"}, g.Control.Core, "core"},
		{"memory", []string{"rss"}, g.Control.Memory, "B"},
		{"bytes in and out", []string{"bytes_in", "bytes_out"}, g.Control.Bytes, "B/s"},
	}
}

// control holds an ordinary pooler to its budget: what the fleet's parts take, and what its list of databases takes by itself.
func (g *page) control() Table {
	t := Table{Name: "control", Head: []string{"spent", "on", "while", "at the plan's size", "limit", "headroom", "keeps to it up to", "growth", "seen", "run"}}
	add := func(b budget, on, phase, of string, size float64, r reading) {
		headroom, until := NotMeasured, "no size, by this line"
		if v, ok := r.at(size); ok && v > b.limit {
			headroom = "none: " + digits(v/b.limit) + " times the limit"
		} else if ok {
			headroom = digits(b.limit/v) + " times"
		}
		if _, text, ok := r.until(b.limit, of); ok {
			until = text
		}
		t.Rows = append(t.Rows, []string{b.name, on, phase, fmt.Sprintf("%s at %s %s", r.value(size), digits(size), of), quantity(b.limit, b.unit), headroom, until, string(r.growth()), r.seen(), r[0].Run})
	}
	for _, b := range g.budgets() {
		for _, m := range mechanisms {
			some := false
			for _, phase := range phases {
				r := g.pick(m, phase, "pooler", b.figures...)
				if r == nil {
					continue
				}
				some = true
				add(b, m, phase, "poolers", g.n, r)
			}
			if !some {
				t.Rows = append(t.Rows, []string{b.name, m, "any", NotMeasured, quantity(b.limit, b.unit), "", "", "", "", ""})
			}
		}
		if r := g.of("rest", "pooler", b.figures[0], "server"); r != nil {
			add(b, "the list, alone", "rest", "databases", float64(g.Databases), r)
		}
	}
	return t
}

// of is a slope of one real pooler by itself.
func (g *page) of(phase, kind, figure, per string) reading {
	if s, ok := g.slopes[Key{"alone", phase, "pooler", kind, figure, per}]; ok {
		g.used[s.Key] = true
		return reading{s}
	}
	return nil
}

// alone is what one real pooler takes by itself, at its share of the plan.
func (g *page) alone() Table {
	t := Table{Name: "alone", Head: []string{"what", "at", "takes", "line", "growth", "seen", "run"}}
	fleet := fmt.Sprintf("_fleet_%d", g.Poolers)
	for _, w := range []struct{ what, phase, kind, figure, per string }{
		{"memory without clients", "empty", "pooler", "rss", "pooler"},
		{"memory with idle clients", "resting", "pooler", "rss", "client"},
		{"processor with idle clients", "resting", "pooler", "cpu", "client"},
		{"memory with a request of each open", "busy", "pooler", "rss", "client"},
		{"memory with a list", "rest", "pooler", "rss", "server"},
		{"processor at rest with a list", "rest", "pooler", "cpu", "server"},
		{"processor with reads of 100 clients, so many a second", fmt.Sprintf("reads_100_clients_%d_servers", g.Databases), "pooler", "cpu", "statement"},
		{"processor with writes of 100 clients, so many a second", fmt.Sprintf("writes_100_clients_%d_servers", g.Databases), "pooler", "cpu", "statement"},
		{"bytes of a complete list", "startup", "pooler", "list_bytes", "server"},
		{"processor time of a start", "startup", "pooler", "cpu", "server"},
		{"until a start has applied a complete list", "startup", "pooler", "list_taken", "server"},
		{"processor time of a complete list sent again", "whole_list", "pooler", "cpu", "server"},
		{"until a complete list is applied", "whole_list", "pooler", "list_taken", "server"},
		{"processor time of a change of one server", "delta", "pooler", "cpu", "server"},
		{"until a change of one server is applied", "delta", "pooler", "list_taken", "server"},
		{"pings of primaries, seconds after use (the next are due after `policy.primaryPingInterval` × poolers)", "rest" + fleet, "pooler", "pings", "group"},
		{"processor at rest with all groups used once", "rest" + fleet, "pooler", "cpu", "group"},
		{"memory with all groups used once", "rest" + fleet, "pooler", "rss", "group"},
		{"connections of all poolers at a primary, all groups used alike", "all_groups" + fleet, "derived", "connections_primary", "pooler"},
		{"at the replica that is home to most", "all_groups" + fleet, "derived", "connections_replica_most_homes", "pooler"},
		{"at a primary, a tenth of the groups used by each", "tenth_of_groups" + fleet, "derived", "connections_primary", "pooler"},
	} {
		r := g.of(w.phase, w.kind, w.figure, w.per)
		n, _ := g.Of(w.per)
		if w.phase == "empty" {
			n = 1
		}
		at := digits(float64(n)) + " " + w.per
		if n != 1 {
			at += "s"
		}
		row := []string{w.what, at, r.value(float64(n)), "", "", "", ""}
		if r != nil {
			copy(row[3:], []string{r.line(), string(r.growth()), r.seen(), r[0].Run})
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// roleTerms are the roles of records by the terms of the code; records keep the names that they were written with.
var roleTerms = map[string]string{"steward": "voter", "leader": "leading voter", "holder": "discovery leader", "dealer": "allocator"}

// roleTerm returns the term for a record's role.
func roleTerm(role string) string { return cmp.Or(roleTerms[role], role) }

// measured is what each role was measured to take, at the plan's size.
func (g *page) measured() Table {
	t := Table{Name: "measured", Head: []string{"role", "mechanism", "while", "messages in", "messages out", "bytes in", "bytes out", "processor", "memory", "descriptors", "seen up to"}}
	roles := map[string]bool{}
	for k := range g.slopes {
		if k.Per == "pooler" {
			roles[k.Role] = true
		}
	}
	for _, role := range slices.Sorted(maps.Keys(roles)) {
		for _, m := range mechanisms {
			for _, phase := range phases {
				row, most := []string{roleTerm(role), m, phase}, 0
				for _, figure := range []string{"messages_in", "messages_out", "bytes_in", "bytes_out", "cpu", "rss", "descriptors"} {
					r := g.pick(m, phase, role, figure)
					row = append(row, r.value(g.n))
					if r != nil {
						most = max(most, r[0].Last.Size)
					}
				}
				if most > 0 {
					t.Rows = append(t.Rows, append(row, digits(float64(most))))
				}
			}
		}
	}
	if len(t.Rows) == 0 {
		t.Rows = [][]string{{"all", "all", "any", NotMeasured, "", "", "", "", "", "", ""}}
	}
	return t
}

// kinds is what the bytes of an ordinary pooler are made of, and those of the leading voter and the discovery leader.
func (g *page) kinds() Table {
	t := Table{Name: "kinds", Head: []string{"role", "mechanism", "while", "kind of message", "bytes out", "growth", "seen"}}
	for _, of := range [][2]string{{"pooler", "rest"}, {"pooler", "change"}, {"pooler", "restart"}, {"leader", "rest"}, {"holder", "rest"}} {
		for _, m := range mechanisms {
			found := map[string]reading{}
			for k := range g.slopes {
				if kind, ok := strings.CutPrefix(k.Figure, "bytes_out:"); ok && k.Mechanism == m && k.Role == of[0] && k.Phase == of[1] {
					found[kind] = g.pick(m, of[1], of[0], k.Figure)
				}
			}
			size := func(kind string) float64 { v, _ := found[kind].at(g.n); return v }
			for _, kind := range slices.SortedFunc(maps.Keys(found), func(a, b string) int { return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a, b)) }) {
				r := found[kind]
				t.Rows = append(t.Rows, []string{roleTerm(of[0]), m, of[1], kind, r.value(g.n), string(r.growth()), r.seen()})
			}
		}
	}
	if len(t.Rows) == 0 {
		t.Rows = [][]string{{"all", "all", "any", NotMeasured, "", "", ""}}
	}
	return t
}

// lines are the slopes that the other tables hold, as they were fitted.
func (g *page) lines() Table {
	t := Table{Name: "slopes", Head: []string{"slope", "line", "growth", "least size: median (spread)", "largest size: median (spread)", "runs", "at the plan's size", "run"}}
	for _, k := range slices.SortedFunc(maps.Keys(g.used), func(a, b Key) int { return cmp.Compare(a.String(), b.String()) }) {
		s := g.slopes[k]
		r := reading{s}
		first := reading{{Unit: s.Unit, Last: s.First}}
		at := ""
		if n, ok := g.Of(k.Per); ok {
			at = fmt.Sprintf("%s at %s", r.value(float64(n)), digits(float64(n)))
		}
		t.Rows = append(t.Rows, []string{k.String(), r.line(), string(s.Growth), first.seen(), r.seen(), fmt.Sprint(s.Last.Plays), at, s.Run})
	}
	if len(t.Rows) == 0 {
		t.Rows = [][]string{{NotMeasured, "", "", "", "", "", "", ""}}
	}
	return t
}

// noteMost bounds what the page tells of a run's note, in bytes.
const noteMost = 400

// records are the runs that the page rests on.
func (g *page) records() Table {
	t := Table{Name: "runs", Head: []string{"run", "date", "commit", "machine", "command", "note"}}
	for _, r := range g.runs {
		note := strings.NewReplacer("|", "/", "\n", " ").Replace(r.Note)
		if len(note) > noteMost {
			note = strings.ToValidUTF8(note[:noteMost], "") + " ... (more in the record)"
		}
		command, _, _ := strings.Cut(r.Command, " --note") // which stands beside it
		commit := r.Commit
		if id, dirty, _ := strings.Cut(commit, "+"); len(id) == 40 {
			commit = id[:8]
			if dirty != "" {
				commit += "+" + dirty
			}
		}
		t.Rows = append(t.Rows, []string{r.Name, r.Date, commit, r.Machine, "`" + command + "`", note})
	}
	if len(t.Rows) == 0 {
		t.Rows = [][]string{{NotMeasured, "", "", "", "", ""}}
	}
	return t
}
