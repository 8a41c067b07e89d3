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
	Sequence uint64
	Revision uint64
}

// VersionCounts is how many live poolers acted on each version from a time on.
type VersionCounts struct {
	At      int64                     `json:"At"`
	Builds  map[string]int            `json:"Builds"`
	Configs map[string]int            `json:"Configs"`
	Lists   map[uint64]map[uint64]int `json:"Handed"` // poolers by the token and number of their list; 0, 0: of an own call
	Poolers int                       `json:"Poolers"`
}

// Straggler is a pooler that acted on an older version than the fleet's newest for longer than the grace.
type Straggler struct {
	Instance     string `json:"Instance"`
	Subject      string `json:"What"` // "list" or "config"
	From         int64  `json:"From"` // from when the newer version was first taken anywhere until this pooler took it; To 0: never
	To           int64  `json:"To"`
	HasVersion   string `json:"Has"`
	WantsVersion string `json:"Wants"`
}

// OldToken is an act of a lease after another pooler had acted by a newer one.
type OldToken struct {
	Record Record `json:"Record"`
	Newer  Record `json:"Newer"`
}

// Disagreement is a time in which two poolers had different primaries of a group.
type Disagreement struct {
	Group     int    `json:"Group"`
	InstanceA string `json:"A"` // instances
	InstanceB string `json:"B"`
	PrimaryA  string `json:"Of"` // their primaries
	PrimaryB  string `json:"As"`
	From      int64  `json:"From"` // To 0: until the end
	To        int64  `json:"To"`
}

// Report is what the journals of a fleet say together.
type Report struct {
	Records       []Record        `json:"Records"` // of all, by time
	VersionCounts []VersionCounts `json:"Moments"` // each time something changes
	Stragglers    []Straggler     `json:"Stragglers"`
	OldTokens     []OldToken      `json:"OldTokens"`
	Disagreements []Disagreement  `json:"Disagreements"`
}

// Merge puts records of many journals on one timeline, by the poolers' clocks, and finds what they say together.
func Merge(records []Record, limits Limits) Report {
	all := slices.Clone(records)
	slices.SortStableFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Instance, b.Instance))
	})
	rep := Report{Records: all}
	rep.countVersions()
	rep.findStragglers(limits.Grace)
	rep.findOldTokens()
	rep.findDisagreements()
	return rep
}

// countVersions counts versions over time.
func (rep *Report) countVersions() {
	now := map[string]Version{}
	for _, r := range rep.Records {
		v, had := now[r.Instance]
		next := Version{Build: r.Build, Config: r.Config, Token: v.Token, Sequence: v.Sequence, Revision: r.Revision}
		switch r.Act {
		case Ended:
			delete(now, r.Instance)
		case Started: // the one of that name before it was killed
			maps.DeleteFunc(now, func(other string, _ Version) bool { return poolerName(other) == poolerName(r.Instance) })
		case ListApplied, ListAnnounced:
			next.Token, next.Sequence = r.Token, r.Sequence
		}
		if r.Act != Ended {
			if had && next == v {
				continue
			}
			now[r.Instance] = next
		}
		m := VersionCounts{At: r.At, Builds: map[string]int{}, Configs: map[string]int{}, Lists: map[uint64]map[uint64]int{}, Poolers: len(now)}
		for _, v := range now {
			m.Builds[v.Build]++
			m.Configs[v.Config]++
			if m.Lists[v.Token] == nil {
				m.Lists[v.Token] = map[uint64]int{}
			}
			m.Lists[v.Token][v.Sequence]++
		}
		rep.VersionCounts = append(rep.VersionCounts, m)
	}
}

// adoption is when a version was taken first by anybody, and by each.
type adoption struct {
	name       string
	order      Version // of a list: its token and number
	firstAt    int64
	byInstance map[string]int64
}

// findStragglers finds who took a list or a configuration late or never while it lived. Lists are ordered by token and number;
// configurations by when they were first taken, as a digest has no order.
func (rep *Report) findStragglers(grace time.Duration) {
	lives := rep.lifetimes()
	var lists, configs []*adoption
	note := func(to *[]*adoption, name string, r Record) {
		i := slices.IndexFunc(*to, func(t *adoption) bool { return t.name == name })
		if i < 0 {
			*to = append(*to, &adoption{name, Version{Token: r.Token, Sequence: r.Sequence}, r.At, map[string]int64{}})
			i = len(*to) - 1
		}
		if _, ok := (*to)[i].byInstance[r.Instance]; !ok {
			(*to)[i].byInstance[r.Instance] = r.At
		}
	}
	for _, r := range rep.Records {
		switch {
		case (r.Act == ListApplied || r.Act == ListAnnounced) && r.Token > 0:
			note(&lists, listName(r.Token, r.Sequence), r)
		case r.Act == Started || r.Act == ConfigApplied:
			note(&configs, r.Config, r)
		}
	}
	slices.SortFunc(lists, func(a, b *adoption) int {
		return cmp.Or(cmp.Compare(a.order.Token, b.order.Token), cmp.Compare(a.order.Sequence, b.order.Sequence))
	})
	for what, versions := range map[string][]*adoption{"list": lists, "config": configs} {
		for i, v := range versions {
			for instance, life := range lives {
				if i == 0 || life.from > v.firstAt+int64(grace) { // the first of all has nobody behind it
					continue
				}
				at, caught := v.byInstance[instance], false
				for _, later := range versions[i:] { // a still newer one will do
					if t, ok := later.byInstance[instance]; ok && (!caught || t < at) {
						at, caught = t, true
					}
				}
				switch {
				case caught && at > v.firstAt+int64(grace):
					rep.Stragglers = append(rep.Stragglers, Straggler{instance, what, v.firstAt, at, versions[i-1].name, v.name})
				case !caught && life.to > v.firstAt+int64(grace):
					rep.Stragglers = append(rep.Stragglers, Straggler{instance, what, v.firstAt, 0, versions[i-1].name, v.name})
				}
			}
		}
	}
	slices.SortFunc(rep.Stragglers, func(a, b Straggler) int {
		return cmp.Or(cmp.Compare(a.From, b.From), strings.Compare(a.Instance, b.Instance), strings.Compare(a.Subject, b.Subject))
	})
}

// lifetime is from a pooler's first record to its last; Ended or not, nothing is known of it outside.
type lifetime struct{ from, to int64 }

func (rep *Report) lifetimes() map[string]lifetime {
	out := map[string]lifetime{}
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

// findOldTokens finds acts by a token older than one that had been acted on.
func (rep *Report) findOldTokens() {
	var newest Record
	for _, r := range rep.Records {
		switch {
		case r.Act != ListAnnounced && r.Act != LeaseHeld:
		case r.Act == ListAnnounced && r.Token < newest.Token:
			rep.OldTokens = append(rep.OldTokens, OldToken{r, newest})
		case r.Token > newest.Token:
			newest = r
		}
	}
}

// findDisagreements finds the times in which two poolers had different primaries of a group.
func (rep *Report) findDisagreements() {
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
			if differ := has && mine != theirs; is && (!differ || primary[group][k.a] != rep.Disagreements[i].PrimaryA || primary[group][k.b] != rep.Disagreements[i].PrimaryB) {
				rep.Disagreements[i].To = at
				delete(open, k)
				is = false
			}
			if has && mine != theirs && !is {
				open[k] = len(rep.Disagreements)
				rep.Disagreements = append(rep.Disagreements, Disagreement{Group: group, InstanceA: k.a, InstanceB: k.b, PrimaryA: primary[group][k.a], PrimaryB: primary[group][k.b], From: at})
			}
		}
	}
	for _, r := range rep.Records {
		switch r.Act {
		case PrimaryAdopted:
			if primary[r.Group] == nil {
				primary[r.Group] = map[string]string{}
			}
			primary[r.Group][r.Instance] = r.Server
			settle(r.At, r.Group, r.Instance)
		case PrimaryDropped:
			delete(primary[r.Group], r.Instance)
			settle(r.At, r.Group, r.Instance)
		case Ended, Started:
			for group, of := range primary {
				for instance := range of {
					if instance == r.Instance || r.Act == Started && poolerName(instance) == poolerName(r.Instance) {
						delete(of, instance)
						settle(r.At, group, instance)
					}
				}
			}
		}
	}
}

// poolerName is a pooler's, of whichever process.
func poolerName(instance string) string {
	name, _, _ := strings.Cut(instance, "/")
	return name
}

func listName(token, seq uint64) string {
	return strconv.FormatUint(token, 10) + "." + strconv.FormatUint(seq, 10)
}
