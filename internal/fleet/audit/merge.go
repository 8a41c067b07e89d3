package audit

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits say what counts as a straggler.
type Limits struct {
	// Grace is how long a pooler may act on an older list or configuration after another has taken a newer one.
	Grace time.Duration
}

// Version is what a pooler acts on.
type Version struct {
	Build    string
	Config   string
	Token    uint64 // of the list, where it was handed on
	Seq      uint64
	Revision uint64
}

// Moment is how many live poolers acted on each version from a time on.
type Moment struct {
	At      int64                     `json:"At"`
	Builds  map[string]int            `json:"Builds"`
	Configs map[string]int            `json:"Configs"`
	Handed  map[uint64]map[uint64]int `json:"Handed"` // poolers by the token and number of their list; 0, 0: of an own call
	Poolers int                       `json:"Poolers"`
}

// Straggler is a pooler that acted on an older version than the fleet's newest for longer than the grace.
type Straggler struct {
	Instance string `json:"Instance"`
	What     string `json:"What"` // "list" or "config"
	From     int64  `json:"From"` // from when the newer version was first taken anywhere until this pooler took it; To 0: never
	To       int64  `json:"To"`
	Has      string `json:"Has"`
	Wants    string `json:"Wants"`
}

// OldToken is an act of a lease after another pooler had acted by a newer one.
type OldToken struct {
	Record Record `json:"Record"`
	Newer  Record `json:"Newer"`
}

// Disagreement is a time in which two poolers had different primaries of a group.
type Disagreement struct {
	Group int    `json:"Group"`
	A     string `json:"A"` // instances
	B     string `json:"B"`
	Of    string `json:"Of"` // their primaries
	As    string `json:"As"`
	From  int64  `json:"From"` // To 0: until the end
	To    int64  `json:"To"`
}

// Report is what the journals of a fleet say together.
type Report struct {
	Records       []Record       `json:"Records"` // of all, by time
	Moments       []Moment       `json:"Moments"` // each time something changes
	Stragglers    []Straggler    `json:"Stragglers"`
	OldTokens     []OldToken     `json:"OldTokens"`
	Disagreements []Disagreement `json:"Disagreements"`
}

// Merge puts records of many journals on one timeline, by the poolers' clocks, and finds what they say together.
func Merge(records []Record, limits Limits) Report {
	all := slices.Clone(records)
	slices.SortStableFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Instance, b.Instance))
	})
	rep := Report{Records: all}
	rep.moments()
	rep.stragglers(limits.Grace)
	rep.tokens()
	rep.disagreements()
	return rep
}

// moments counts versions over time.
func (rep *Report) moments() {
	now := map[string]Version{}
	for _, r := range rep.Records {
		v, had := now[r.Instance]
		next := Version{Build: r.Build, Config: r.Config, Token: v.Token, Seq: v.Seq, Revision: r.Revision}
		switch r.Act {
		case Ended:
			delete(now, r.Instance)
		case Started: // the one of that name before it was killed
			maps.DeleteFunc(now, func(other string, _ Version) bool { return name(other) == name(r.Instance) })
		case ListTaken, HandedOn:
			next.Token, next.Seq = r.Token, r.Seq
		}
		if r.Act != Ended {
			if had && next == v {
				continue
			}
			now[r.Instance] = next
		}
		m := Moment{At: r.At, Builds: map[string]int{}, Configs: map[string]int{}, Handed: map[uint64]map[uint64]int{}, Poolers: len(now)}
		for _, v := range now {
			m.Builds[v.Build]++
			m.Configs[v.Config]++
			if m.Handed[v.Token] == nil {
				m.Handed[v.Token] = map[uint64]int{}
			}
			m.Handed[v.Token][v.Seq]++
		}
		rep.Moments = append(rep.Moments, m)
	}
}

// took is when a version was taken first by anybody, and by each.
type took struct {
	name  string
	order Version // of a list: its token and number
	first int64
	by    map[string]int64
}

// stragglers finds who took a list or a configuration late or never while it lived. Lists are ordered by token and number;
// configurations by when they were first taken, as a digest has no order.
func (rep *Report) stragglers(grace time.Duration) {
	lives := rep.lives()
	var lists, configs []*took
	note := func(to *[]*took, name string, r Record) {
		i := slices.IndexFunc(*to, func(t *took) bool { return t.name == name })
		if i < 0 {
			*to = append(*to, &took{name, Version{Token: r.Token, Seq: r.Seq}, r.At, map[string]int64{}})
			i = len(*to) - 1
		}
		if _, ok := (*to)[i].by[r.Instance]; !ok {
			(*to)[i].by[r.Instance] = r.At
		}
	}
	for _, r := range rep.Records {
		switch {
		case (r.Act == ListTaken || r.Act == HandedOn) && r.Token > 0:
			note(&lists, listName(r.Token, r.Seq), r)
		case r.Act == Started || r.Act == ConfigTaken:
			note(&configs, r.Config, r)
		}
	}
	slices.SortFunc(lists, func(a, b *took) int {
		return cmp.Or(cmp.Compare(a.order.Token, b.order.Token), cmp.Compare(a.order.Seq, b.order.Seq))
	})
	for what, versions := range map[string][]*took{"list": lists, "config": configs} {
		for i, v := range versions {
			for instance, life := range lives {
				if i == 0 || life.from > v.first+int64(grace) { // the first of all has nobody behind it
					continue
				}
				at, caught := v.by[instance], false
				for _, later := range versions[i:] { // a still newer one will do
					if t, ok := later.by[instance]; ok && (!caught || t < at) {
						at, caught = t, true
					}
				}
				switch {
				case caught && at > v.first+int64(grace):
					rep.Stragglers = append(rep.Stragglers, Straggler{instance, what, v.first, at, versions[i-1].name, v.name})
				case !caught && life.to > v.first+int64(grace):
					rep.Stragglers = append(rep.Stragglers, Straggler{instance, what, v.first, 0, versions[i-1].name, v.name})
				}
			}
		}
	}
	slices.SortFunc(rep.Stragglers, func(a, b Straggler) int {
		return cmp.Or(cmp.Compare(a.From, b.From), strings.Compare(a.Instance, b.Instance), strings.Compare(a.What, b.What))
	})
}

// life is from a pooler's first record to its last; Ended or not, nothing is known of it outside.
type life struct{ from, to int64 }

func (rep *Report) lives() map[string]life {
	out := map[string]life{}
	for _, r := range rep.Records {
		l, ok := out[r.Instance]
		if !ok {
			l.from = r.At
		}
		l.to = r.At
		out[r.Instance] = l
	}
	return out
}

// tokens finds acts by a token older than one that had been acted on.
func (rep *Report) tokens() {
	var newest Record
	for _, r := range rep.Records {
		switch {
		case r.Act != HandedOn && r.Act != LeaseHeld:
		case r.Act == HandedOn && r.Token < newest.Token:
			rep.OldTokens = append(rep.OldTokens, OldToken{r, newest})
		case r.Token > newest.Token:
			newest = r
		}
	}
}

// disagreements finds the times in which two poolers had different primaries of a group.
func (rep *Report) disagreements() {
	type key struct {
		group int
		a, b  string
	}
	primary := map[int]map[string]string{} // by group, then instance
	open := map[key]int{}                  // index in Disagreements
	settle := func(at int64, group int, instance string) {
		for other, theirs := range primary[group] {
			if other == instance {
				continue
			}
			k := key{group, min(instance, other), max(instance, other)}
			mine, has := primary[group][instance]
			i, is := open[k]
			if differ := has && mine != theirs; is && (!differ || primary[group][k.a] != rep.Disagreements[i].Of || primary[group][k.b] != rep.Disagreements[i].As) {
				rep.Disagreements[i].To = at
				delete(open, k)
				is = false
			}
			if has && mine != theirs && !is {
				open[k] = len(rep.Disagreements)
				rep.Disagreements = append(rep.Disagreements, Disagreement{Group: group, A: k.a, B: k.b, Of: primary[group][k.a], As: primary[group][k.b], From: at})
			}
		}
	}
	for _, r := range rep.Records {
		switch r.Act {
		case PrimaryTaken:
			if primary[r.Group] == nil {
				primary[r.Group] = map[string]string{}
			}
			primary[r.Group][r.Instance] = r.Server
			settle(r.At, r.Group, r.Instance)
		case PrimaryLeft:
			delete(primary[r.Group], r.Instance)
			settle(r.At, r.Group, r.Instance)
		case Ended, Started:
			for group, of := range primary {
				for instance := range of {
					if instance == r.Instance || r.Act == Started && name(instance) == name(r.Instance) {
						delete(of, instance)
						settle(r.At, group, instance)
					}
				}
			}
		}
	}
}

// name is a pooler's, of whichever process.
func name(instance string) string {
	name, _, _ := strings.Cut(instance, "/")
	return name
}

func listName(token, seq uint64) string {
	return strconv.FormatUint(token, 10) + "." + strconv.FormatUint(seq, 10)
}
