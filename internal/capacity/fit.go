package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Key tells which figure of a record a slope is of.
type Key struct{ Mechanism, Phase, Role, Kind, Figure, Per string }

// String is the key as a plan names it.
func (k Key) String() string {
	return strings.Join([]string{k.Mechanism, k.Phase, k.Role, k.Kind, k.Figure, k.Per}, "/")
}

// Slope is how a figure grows, by the medians of one run.
type Slope struct {
	Key
	Unit, Run  string
	Base, Each float64 // the line of least squares: at size n it is Base + Each*n
	First      Row     // at the least size
	Last       Row     // at the largest
	Sizes      int
	Growth     Growth
}

// Growth is what the last two sizes say of a figure.
type Growth string

// What a figure may do between two sizes. It is flat if it grows by less than the fourth root of the sizes' ratio, and worse if it
// grows by more than the 1.15th power of it; unclear if the plays at the two sizes differ by as much as these do.
const (
	Alone  Growth = "one size"
	Flat   Growth = "flat"
	Unsure Growth = "within the spread"
	Linear Growth = "linear"
	Worse  Growth = "worse than linear"
)

const (
	flatPower  = 0.25
	worsePower = 1.15
)

// Recorded is what the runs of a plan say.
type Recorded struct {
	Runs   []Run // in the plan's order
	Slopes map[Key]Slope
}

// Fit fits a line to each figure of the named runs. Where two have the same figure, the later one of names counts, whole. A name may
// be of several records, "A+B", that were one measurement in parts: they are taken for one. They must be of one commit, or of commits
// between which alike says that what is measured did not change. leftOut are RECORD/PHASE whose rows don't count.
func Fit(runs []Run, names, leftOut, alike []string) (Recorded, error) {
	out := Recorded{Slopes: map[Key]Slope{}}
	without := map[string]bool{}
	for i, name := range names {
		rows := map[Key][]Row{}
		commit := ""
		for part := range strings.SplitSeq(name, "+") {
			at := slices.IndexFunc(runs, func(r Run) bool { return r.Name == part })
			if at < 0 {
				return out, fmt.Errorf("runs[%d]: there is no record %q", i, part)
			}
			if commit != "" && commit != runs[at].Commit && (!slices.Contains(alike, commit) || !slices.Contains(alike, runs[at].Commit)) {
				return out, fmt.Errorf("runs[%d]: %q is of two commits, %s and %s", i, name, commit, runs[at].Commit)
			}
			commit = runs[at].Commit
			for _, r := range runs[at].Rows {
				if at := part + "/" + r.Phase; slices.Contains(leftOut, at) {
					without[at] = true
					continue
				}
				k := Key{r.Mechanism, r.Phase, r.Role, r.Kind, r.Figure, r.Per}
				rows[k] = append(rows[k], r)
			}
			out.Runs = append(out.Runs, runs[at])
		}
		for k, of := range rows {
			slices.SortFunc(of, func(a, b Row) int { return a.Size - b.Size })
			for j := range of[1:] {
				if of[j].Size == of[j+1].Size {
					return out, fmt.Errorf("runs[%d]: %q has two rows of %s at size %d", i, name, k, of[j].Size)
				}
			}
			out.Slopes[k] = fit(k, name, of)
		}
	}
	for i, at := range leftOut {
		if !without[at] {
			return out, fmt.Errorf("left_out[%d]: runs have no %q", i, at)
		}
	}
	return out, nil
}

func fit(k Key, run string, rows []Row) Slope {
	n, last := float64(len(rows)), rows[len(rows)-1]
	s := Slope{Key: k, Unit: last.Unit, Run: run, First: rows[0], Last: last, Sizes: len(rows), Growth: Alone, Base: last.Median}
	if len(rows) == 1 {
		return s
	}
	var x, y, xx, xy float64
	for _, r := range rows {
		size := float64(r.Size)
		x, y, xx, xy = x+size, y+r.Median, xx+size*size, xy+size*r.Median
	}
	s.Each = (n*xy - x*y) / (n*xx - x*x)
	s.Base = (y - s.Each*x) / n
	before := rows[len(rows)-2]
	power := math.Log(last.Median/before.Median) / math.Log(float64(last.Size)/float64(before.Size))
	switch within := last.Median <= before.Most && before.Median >= last.Least; {
	case last.Median <= before.Median || power < flatPower:
		s.Growth = Flat
	case within:
		s.Growth = Unsure
	case power > worsePower:
		s.Growth = Worse
	default:
		s.Growth = Linear
	}
	return s
}

// At is the figure at a size; ok false: one size tells nothing of another. At the largest size that was seen it is what was seen, and
// beyond it never less than that: a line that falls is no promise.
func (s Slope) At(n float64) (v float64, ok bool) {
	if s.Growth == Alone || n == float64(s.Last.Size) {
		return s.Last.Median, n == float64(s.Last.Size)
	}
	v = s.Base + s.Each*n
	if n >= float64(s.Last.Size) {
		v = max(v, s.Last.Median)
	}
	return max(v, 0), true
}

// Until is the largest size at which the figure keeps to a limit, 0: none by its line; ok false: no size tells, by what was measured.
func (s Slope) Until(limit float64) (n float64, ok bool) {
	switch {
	case s.Growth == Alone:
		return 0, false
	case s.Each <= 0:
		return 0, s.Base > limit && s.Last.Median > limit
	}
	return max((limit-s.Base)/s.Each, 0), true
}
