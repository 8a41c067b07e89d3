package scale

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"threadsail/internal/capacity"
	"threadsail/internal/fleet/traffic"
)

// The kinds of poolers, in the records' words.
const (
	kindReal   = "pooler"
	kindHollow = "hollow"
)

// roleAll is of sums over a whole fleet, which are no rows.
const roleAll = "all"

const (
	keptShare = 0.01 // of a role's bytes: kinds of messages with less are no rows of their own
	busyShare = 0.8  // of its core: a process of hollow poolers that takes more makes its figures doubtful
)

// cell is what a value is of.
type cell struct{ phase, role, kind, figure, unit string }

// values are one play's.
type values map[cell]float64

func (p *play) set(phase, role, kind, figure, unit string, v float64) {
	p.values[cell{phase, role, kind, figure, unit}] = v
}

// mean is of several poolers of one role and kind.
type mean map[[2]string]struct {
	sum float64
	n   int
}

func (m mean) add(role, kind string, v float64) {
	x := m[[2]string{role, kind}]
	x.sum, x.n = x.sum+v, x.n+1
	m[[2]string{role, kind}] = x
}

// account works out what each role took between two shots. Who leads and who holds the list duty is told by what they say to all.
func (p *play) account(phase string, before, after shot) {
	gone := map[string][]traffic.Count{}
	for name, a := range after.poolers {
		gone[name] = since(before.poolers[name].traffic, a.traffic)
	}
	leader, holder := most(gone, "shared/word"), cmp.Or(most(gone, "duty/word"), most(gone, "lists/word"))
	role := func(name string) string {
		switch {
		case name == leader:
			return "leader"
		case name == holder:
			return "holder"
		case p.among(stewards, name):
			return "steward"
		case p.among(p.Distributors, name):
			return "distributor"
		}
		return "pooler"
	}
	figures := map[[2]string]mean{} // by figure and unit
	add := func(figure, unit, name, kind string, v float64) {
		key := [2]string{figure, unit}
		if figures[key] == nil {
			figures[key] = mean{}
		}
		figures[key].add(role(name), kind, v)
	}
	kinds := map[string]bool{}
	for _, counts := range gone {
		for _, c := range counts {
			kinds[c.Kind] = true
		}
	}
	for name, counts := range gone {
		a := after.poolers[name]
		seconds := a.at.Sub(before.poolers[name].at).Seconds()
		var all traffic.Count
		byKind := map[string]float64{}
		for _, c := range counts {
			all.BytesIn += c.BytesIn
			all.BytesOut += c.BytesOut
			all.MessagesIn += c.MessagesIn
			all.MessagesOut += c.MessagesOut
			byKind[c.Kind] = float64(c.BytesOut) / seconds
		}
		add("bytes_in", "B/s", name, a.kind, float64(all.BytesIn)/seconds)
		add("bytes_out", "B/s", name, a.kind, float64(all.BytesOut)/seconds)
		add("messages_in", "1/s", name, a.kind, float64(all.MessagesIn)/seconds)
		add("messages_out", "1/s", name, a.kind, float64(all.MessagesOut)/seconds)
		for kind := range kinds {
			add("bytes_out:"+kind, "B/s", name, a.kind, byKind[kind])
		}
	}
	for name, a := range after.reals {
		seconds := after.poolers[name].at.Sub(before.poolers[name].at).Seconds()
		add("cpu", "core", name, kindReal, (a.CPU-before.reals[name].CPU).Seconds()/seconds)
		add("rss", "B", name, kindReal, float64(a.RSS))
		add("descriptors", "1", name, kindReal, float64(a.Descriptors))
	}
	for key, m := range figures {
		for who, x := range m {
			p.set(phase, who[0], who[1], key[0], key[1], x.sum/float64(x.n))
		}
	}
	for at := range p.values { // kinds of messages that cost next to nothing
		if at.phase == phase && strings.HasPrefix(at.figure, "bytes_out:") && p.values[at] < keptShare*p.values[cell{phase, at.role, at.kind, "bytes_out", "B/s"}] {
			delete(p.values, at)
		}
	}
	p.accountHollow(phase, before, after)
}

// accountHollow shares what the processes of hollow poolers took out among them: over what each took before it had any.
func (p *play) accountHollow(phase string, before, after shot) {
	var cpu, rss, heap, files, routines, n float64
	for i, a := range after.hollows {
		c := p.children[i]
		seconds := after.at[i].Sub(before.at[i]).Seconds()
		share := (a.CPU - before.hollows[i].CPU).Seconds() / seconds
		if share > busyShare {
			p.note("%d poolers, %s: a process of %d hollow poolers took %.2f of its one core; its times and losses may be the laboratory's", p.size, phase, len(c.poolers), share)
		}
		cpu += share
		rss += float64(a.RSS - c.base.RSS)
		heap += float64(a.Heap - c.base.Heap)
		files += float64(a.Descriptors - c.base.Descriptors)
		routines += float64(a.Goroutines - c.base.Goroutines)
		n += float64(len(c.poolers))
	}
	p.set(phase, roleAll, kindHollow, "rss", "B", rss)
	for _, f := range []struct {
		figure, unit string
		v            float64
	}{{"cpu", "core", cpu}, {"rss", "B", rss}, {"heap", "B", heap}, {"descriptors", "1", files}, {"goroutines", "1", routines}} {
		p.set(phase, "pooler", kindHollow, f.figure, f.unit, f.v/n)
	}
}

// among tells whether a pooler is one of the first n.
func (p *play) among(n int, who string) bool {
	for i := range n {
		if name(i) == who {
			return true
		}
	}
	return false
}

// most is who sent most messages of a kind; "" if nobody did.
func most(gone map[string][]traffic.Count, kind string) (name string) {
	var best uint64
	for n, counts := range gone {
		for _, c := range counts {
			if c.Kind == kind && (c.MessagesOut > best || c.MessagesOut == best && best > 0 && n < name) {
				name, best = n, c.MessagesOut
			}
		}
	}
	return name
}

// since is what was added to counts.
func since(before, after []traffic.Count) (out []traffic.Count) {
	was := map[string]traffic.Count{}
	for _, c := range before {
		was[c.Kind] = c
	}
	for _, c := range after {
		b := was[c.Kind]
		out = append(out, traffic.Count{Kind: c.Kind, BytesIn: c.BytesIn - b.BytesIn, BytesOut: c.BytesOut - b.BytesOut,
			MessagesIn: c.MessagesIn - b.MessagesIn, MessagesOut: c.MessagesOut - b.MessagesOut})
	}
	return out
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// add puts the plays of a size together as rows.
func (r *Report) add(o Options, size int, plays []values) {
	all := map[cell][]float64{}
	for _, p := range plays {
		for at, v := range p {
			all[at] = append(all[at], v)
		}
	}
	cells := slices.SortedFunc(maps.Keys(all), func(a, b cell) int {
		return cmp.Or(cmp.Compare(slices.Index(Phases, a.phase), slices.Index(Phases, b.phase)), cmp.Compare(a.role, b.role), cmp.Compare(a.kind, b.kind), cmp.Compare(a.figure, b.figure))
	})
	for _, at := range cells {
		if v := all[at]; at.role != roleAll {
			r.Rows = append(r.Rows, capacity.Row{Mechanism: o.Mechanism, Phase: at.phase, Role: at.role, Kind: at.kind, Figure: at.figure, Unit: at.unit, Per: "pooler",
				Size: size, Plays: len(v), Least: slices.Min(v), Median: median(v), Most: slices.Max(v)})
		}
	}
}

// Table writes the medians for a person: by size, phase and role, real beside hollow.
func (r Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "size\tphase\trole\tkind\tplays\tB/s out\tB/s in\tmsg/s out\tmsg/s in\tmillicores\trss MB\theap MB\tfiles\tgoroutines\tin force s: median\t99%\tlast\tknown all s\t")
	type line struct {
		size              int
		phase, role, kind string
	}
	var order []line
	by := map[line]map[string]capacity.Row{}
	for _, row := range r.Rows {
		l := line{row.Size, row.Phase, row.Role, row.Kind}
		if by[l] == nil {
			order, by[l] = append(order, l), map[string]capacity.Row{}
		}
		by[l][row.Figure] = row
	}
	for _, l := range order {
		f := by[l]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t", l.size, l.phase, l.role, l.kind, f["bytes_out"].Plays)
		for _, c := range []struct {
			figure, form string
			unit         float64
		}{{"bytes_out", "%.0f", 1}, {"bytes_in", "%.0f", 1}, {"messages_out", "%.1f", 1}, {"messages_in", "%.1f", 1}, {"cpu", "%.2f", 1e-3}, {"rss", "%.2f", 1 << 20},
			{"heap", "%.2f", 1 << 20}, {"descriptors", "%.1f", 1}, {"goroutines", "%.1f", 1}, {"in_force_median", "%.3f", 1}, {"in_force_99", "%.3f", 1},
			{"in_force_last", "%.3f", 1}, {"known_all", "%.1f", 1}} {
			if row, ok := f[c.figure]; ok {
				fmt.Fprintf(w, c.form, row.Median/c.unit)
			} else {
				fmt.Fprint(w, "-")
			}
			fmt.Fprint(w, "\t")
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, took := range r.Took {
		fmt.Fprintf(out, "a play took %v\n", took.Round(time.Second))
	}
	for _, n := range r.Notes {
		fmt.Fprintln(out, n)
	}
	return nil
}
