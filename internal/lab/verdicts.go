package lab

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/lab/faults"
)

// BadServer is a server that a step made bad for all poolers, and what became of it.
type BadServer struct {
	Server       string          `json:"Server"`
	At           time.Duration   `json:"At"`   // from the clients' beginning; For 0: to the end
	Duration     time.Duration   `json:"For"`  // from the clients' beginning; For 0: to the end
	EjectedBy    int             `json:"Left"` // poolers whose journals tell that they convicted it
	EjectedAfter []time.Duration `json:"LeftAfter"`
	Statements   []int           `json:"Statements"` // that reached it, by the second since
}

// badFor notes that a step has made servers bad for all poolers, or ends that.
func (r *fleetRun) badFor(step faults.Step) {
	all := len(step.Poolers) == len(r.poolers) && (step.Act == faults.OneWay || step.Act == faults.Delay || step.Act == faults.Reset)
	now := time.Since(r.began)
	for _, j := range step.Servers {
		name := r.servers.Servers[j].Name
		i := slices.IndexFunc(r.bad, func(b BadServer) bool { return b.Server == name && b.Duration == 0 })
		switch {
		case i < 0 && (all || step.Act == faults.Down || step.Act == faults.Err):
			r.bad = append(r.bad, BadServer{Server: name, At: now})
		case i >= 0 && (step.Act == faults.Heal || step.Act == faults.Up || step.Act == faults.Right):
			r.bad[i].Duration = now - r.bad[i].At
		}
	}
}

// verdicts tells what became of bad servers, by the poolers' journals and the stand-ins' ledgers, and counts the verdicts on
// servers that were not bad for all.
func (r *fleetRun) verdicts(rep *FleetReport) {
	for i := range r.bad {
		b := &r.bad[i]
		for _, s := range r.servers.Servers {
			if s.Name != b.Server {
				continue
			}
			for _, seen := range s.Seen() {
				if at := seen.At.Sub(r.began) - b.At; b.Duration == 0 || at < b.Duration {
					count(&b.Statements, at)
				}
			}
		}
	}
	for _, name := range rep.Journals {
		text, err := os.ReadFile(name)
		if err != nil {
			continue // its pooler never started
		}
		records, _ := audit.Parse(name, text)
		left := map[int]bool{}
		for _, rec := range records {
			if rec.Act != audit.EjectionBegun {
				continue
			}
			at := rec.Time().Sub(r.began)
			i := slices.IndexFunc(r.bad, func(b BadServer) bool { // what was said of it lasts a little longer than it was true
				return b.Server == rec.Server && at >= b.At && (b.Duration == 0 || at < b.At+b.Duration+5*time.Second)
			})
			if i < 0 {
				rep.FalseEjections++
			} else if !left[i] {
				left[i] = true
				r.bad[i].EjectedBy++
				r.bad[i].EjectedAfter = append(r.bad[i].EjectedAfter, at-r.bad[i].At)
			}
		}
	}
	for i := range r.bad {
		slices.Sort(r.bad[i].EjectedAfter)
	}
	rep.BadServers = r.bad
}

// badTable writes it for a person.
func (rep FleetReport) badTable(out io.Writer) {
	for _, b := range rep.BadServers {
		fmt.Fprintf(out, "%s bad from %.1f s on", b.Server, b.At.Seconds())
		if n := len(b.EjectedAfter); n > 0 {
			fmt.Fprintf(out, "; convicted by %d of %d poolers, the first after %.1f s, half by %.1f s, the last by %.1f s", b.EjectedBy, rep.Poolers,
				b.EjectedAfter[0].Seconds(), b.EjectedAfter[n/2].Seconds(), b.EjectedAfter[n-1].Seconds())
		}
		fmt.Fprintf(out, "; statements there by the second: %s\n", strings.Trim(fmt.Sprint(b.Statements), "[]"))
	}
	if rep.FalseEjections > 0 {
		fmt.Fprintf(out, "verdicts on servers that were not bad for all: %d\n", rep.FalseEjections)
	}
}
