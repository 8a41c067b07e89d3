package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/inventory"
)

// Rewrite is an experiment: a watched file is rewritten again and again under load, one time in five with something that
// must not be used, while servers leave and come back, and the primary moves.
type Rewrite struct {
	Wire     string // postgres or mysql
	Versions int
	Pace     time.Duration // between two versions
	Clients  int
	Seed     uint64
	GateOff  bool // unsealed files are taken at once, whatever they take away
	// Pooler starts a pooler with an environment and returns where its front of the wire listens.
	Pooler   func(env map[string]string) (addr string)
	Progress func(string) // a line now and then; nil: none
}

const (
	badFileKinds     = 7 // kinds of bad files, which take turns
	unsealedFileKind = 2 // the file is whole, but nothing shows that it is

	trapTimeout = 20 * time.Second // for which an unsealed file stands until its server is reached, without the gate
)

// Removed is how long a server may be sent work after the list that lacks it was written.
const Removed = 2 * time.Second

// RewriteReport is what the stand-ins have seen.
type RewriteReport struct {
	Wire             string
	Versions, Broken int
	Took             time.Duration
	Counts
	Causes    map[string]int // of lost and failed requests
	Overlaps  int            // attempts that met an earlier one of the same request
	Trapped   int            // connections to the server that only bad files name
	Late      int            // statements at a server that had left the file for Removed
	LastSend  time.Duration  // the longest time from a server's leaving to its last statement
	Unsettled []string       // servers of the last version that get no work after it
	P50, P99  time.Duration
}

// Violations says which promises were broken.
func (r RewriteReport) Violations() (out []string) {
	add := func(broken bool, format string, args ...any) {
		if broken {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(r.Lost > 0, "%d requests were lost: %v", r.Lost, r.Causes)
	add(r.Served == 0, "no request was served")
	add(r.Overlaps > 0, "%d attempts met an earlier one of the same request", r.Overlaps)
	add(r.Trapped > 0, "%d connections went to a server that only bad files name", r.Trapped)
	add(r.Late > 0, "%d statements went to a server more than %v after it left the file, the last after %v", r.Late, Removed, r.LastSend)
	add(len(r.Unsettled) > 0, "the last version is not in force: nothing goes to %v", r.Unsettled)
	return out
}

func (r RewriteReport) String() string {
	return fmt.Sprintf("%s: %d versions in %.1f s, %d of them bad; %d requests: %d served, %d refused, %d failed, %d lost; p50 %v, p99 %v; "+
		"%d overlaps, %d connections by bad files, %d sends too late, last send %.2f s after leaving", r.Wire, r.Versions, r.Took.Seconds(),
		r.Broken, r.Sum(), r.Served, r.Refused, r.Failed, r.Lost, r.P50, r.P99, r.Overlaps, r.Trapped, r.Late, r.LastSend.Seconds())
}

// out is when a server is out of the file, in parts of the run.
type out struct{ from, to float64 }

// rewriting is a run under way.
type rewriting struct {
	Rewrite
	f       *standin.Fleet
	rng     *rand.Rand
	servers []*standin.Server // p is first, then the replicas, then the machine that takes p's name over
	trap    *standin.Server
	left    map[*standin.Server]time.Time // since when it is out of the file
	spans   map[*standin.Server][][2]time.Time
}

// Run runs the experiment.
func (x Rewrite) Run(h standin.Host) RewriteReport {
	f := standin.NewFleet(h, x.Wire == "mysql", func(settings map[string]any) {
		settings["contract"].(map[string]any)["drainGraceMs"] = 1500 // the rest of Removed is for a slow machine
	}, "p", "r1", "r2", "r3", "r4", "r5")
	keys := map[string]any{"settle_ms": 30000, "settle_removal_ms": 30000}
	if x.GateOff {
		keys = map[string]any{"settle_ms": 0, "settle_removal_ms": 0, "hold_ms": 1, "hold_share": 1}
	}
	f.FromFile(keys)
	r := &rewriting{Rewrite: x, f: f, rng: rand.New(rand.NewPCG(x.Seed, 1)), servers: append(slices.Clone(f.Servers), f.Server("p", false)),
		trap: f.Server("trap", true), left: map[*standin.Server]time.Time{}, spans: map[*standin.Server][][2]time.Time{}}
	began := time.Now()
	r.good(0)
	load := NewLoad(x.Wire, x.Pooler(f.Env), time.Second, time.Millisecond)
	load.Start(x.Clients, x.Seed, 0.2)
	report := RewriteReport{Wire: x.Wire, Versions: x.Versions}
	for i := range x.Versions {
		part := float64(i) / float64(x.Versions)
		r.roles(part)
		if i%5 == 4 {
			report.Broken++
			r.bad(part, i/5%badFileKinds)
			if x.GateOff && i/5%badFileKinds == unsealedFileKind {
				r.waitForTrap()
			}
		} else {
			r.good(part)
		}
		if x.Progress != nil && i%max(x.Versions/10, 1) == 0 {
			c, _ := load.Now()
			x.Progress(fmt.Sprintf("%s: version %d, %d served, %d refused, %d failed, %d lost", x.Wire, i, c.Served, c.Refused, c.Failed, c.Lost))
		}
		time.Sleep(x.Pace)
	}
	report.Unsettled = r.settles()
	load.Stop()
	report.Took = time.Since(began)
	report.Counts, report.Causes = load.Now()
	report.P50, report.P99 = load.Took(50), load.Took(99)
	report.Overlaps, report.Trapped = f.Ledger.Overlaps(), r.trap.Came()
	r.sends(&report)
	return report
}

// outs says when each server is out of the file: two replicas for long, the primary for a moment and then for good, while
// another machine takes its name over in the end.
func (r *rewriting) outs(i int) []out {
	switch i {
	case 0:
		return []out{{0.72, 0.73}, {0.75, 2}}
	case 4:
		return []out{{0.30, 0.70}}
	case 5:
		return []out{{0.10, 0.50}}
	case 6:
		return []out{{0, 0.90}}
	}
	return nil
}

// roles moves the primary once it has left the file for good.
func (r *rewriting) roles(part float64) {
	if part >= 0.75 {
		r.servers[0].Set(false, 0)
	}
	if part >= 0.78 {
		r.servers[1].Set(true, 0)
	}
}

// listed is what a good file lists.
func (r *rewriting) listed(part float64) []*standin.Server {
	var list []*standin.Server
	for i, s := range r.servers {
		if !slices.ContainsFunc(r.outs(i), func(o out) bool { return part >= o.from && part < o.to }) {
			list = append(list, s)
		}
	}
	return list
}

func (r *rewriting) text(list []*standin.Server, more string) []byte {
	var b strings.Builder
	b.WriteString("name,host,port,zone,cluster,state,weight\n")
	for _, s := range list {
		host, port, _ := net.SplitHostPort(s.Addr)
		fmt.Fprintf(&b, "%s,%s,%s,a,0,ready,%d\n", s.Name, host, port, 1+r.rng.IntN(5))
	}
	b.WriteString(more)
	return []byte(b.String())
}

// write replaces the file by renaming, or in place.
func (r *rewriting) write(text []byte, inPlace bool) {
	path := r.f.Inventory()
	if !inPlace {
		path += ".next"
	}
	err := os.WriteFile(path, text, 0o600)
	if err == nil && !inPlace {
		err = os.Rename(path, r.f.Inventory())
	}
	if err != nil {
		panic(err) // a folder of our own
	}
}

func (r *rewriting) good(part float64) {
	list := r.listed(part)
	for s, since := range r.left { // before it is listed again
		if slices.Contains(list, s) {
			r.spans[s] = append(r.spans[s], [2]time.Time{since, time.Now()})
			delete(r.left, s)
		}
	}
	r.write(inventory.AppendSeal(r.text(list, ""), len(list), ""), false)
	for _, s := range r.servers {
		if _, out := r.left[s]; !out && !slices.Contains(list, s) {
			r.left[s] = time.Now()
		}
	}
}

// bad writes a file that must not be used: it names a server that nobody may come to, as the primary.
func (r *rewriting) bad(part float64, kind int) {
	list := append([]*standin.Server{r.trap}, r.listed(part)...)
	text := r.text(list, "")
	sealed := inventory.AppendSeal(text, len(list), "")
	trap := strings.Split(string(text), "\n")[1] + "\n"
	switch kind {
	case 0: // cut anywhere
		r.write(sealed[:1+r.rng.IntN(len(sealed)-2)], true)
	case 1: // an unknown room
		r.write(r.text(list, "db9,10.0.0.9,1,ujpest2,0,ready,1\n"), false)
	case unsealedFileKind:
		r.write(text, false)
	case 3: // changed after it was sealed
		r.write([]byte(strings.Replace(string(sealed), ",ready,", ",draining,", 1)), false)
	case 4: // a server twice
		r.write(inventory.AppendSeal(append(text, trap...), len(list)+1, ""), false)
	case 5: // the first half, then the rest of another one
		r.write(sealed[:len(sealed)/2], true)
		time.Sleep(r.Pace / 2)
		r.write(append(sealed[:len(sealed)/2:len(sealed)/2], sealed...), true)
	case 6: // cut at the end of a row: what stands there is a good, shorter list
		r.write([]byte(strings.Join(strings.SplitAfter(string(text), "\n")[:3], "")), true)
	}
}

// waitForTrap waits until a connection goes to the server that only bad files name.
func (r *rewriting) waitForTrap() {
	for late := time.Now().Add(trapTimeout); r.trap.Came() == 0 && time.Now().Before(late); {
		time.Sleep(r.Pace)
	}
}

// settles writes the last version and tells which of its servers get no work from it.
func (r *rewriting) settles() (missing []string) {
	r.good(1)
	list := r.listed(1)
	had := map[*standin.Server]int{}
	for _, s := range list {
		had[s] = len(s.Seen())
	}
	for late := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		missing = nil
		for _, s := range list {
			if len(s.Seen()) == had[s] {
				missing = append(missing, s.Name)
			}
		}
		if missing == nil || time.Now().After(late) {
			return missing
		}
	}
}

// sends counts what came to servers that had left the file.
func (r *rewriting) sends(report *RewriteReport) {
	for s, since := range r.left {
		r.spans[s] = append(r.spans[s], [2]time.Time{since, time.Now()})
	}
	for s, spans := range r.spans {
		for _, seen := range s.Seen() {
			for _, span := range spans {
				if seen.At.After(span[0]) && seen.At.Before(span[1]) {
					after := seen.At.Sub(span[0])
					if report.LastSend = max(report.LastSend, after); after > Removed {
						report.Late++
					}
				}
			}
		}
	}
}
