package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"threadsail/internal/lab/scenario"
	"time"

	"threadsail/internal/lab/faults"
	"threadsail/internal/lab/standin"
)

// drainSlack is what a statement may come later than a drain's grace: the machines of a laboratory are busy.
const drainSlack = 50 * time.Millisecond

// Drained is a server that the lists said drains, and what came to it after the grace.
type Drained struct {
	Server   string        `json:"Server"`
	At       time.Duration `json:"At"`   // from the clients' beginning; For 0: to the end
	Duration time.Duration `json:"For"`  // from the clients' beginning; For 0: to the end
	Late     int           `json:"Late"` // statements later than the grace and drainSlack after the news
	Last     time.Duration `json:"Last"` // after the news, of all
}

// settle puts what a scenario says of the deployment into the poolers' settings.
func settle(s scenario.Scenario, settings map[string]any) {
	settings["balancers"] = s.Poolers
	if s.PushLists {
		settings["discovery"] = "push"
	}
	if s.DrainGracePeriod > 0 {
		settings["contract"].(map[string]any)["drainGraceMs"] = s.DrainGracePeriod.Milliseconds()
	}
	if s.ReplicationLog.MaxWait > 0 {
		info := settings["familyInfo"].(map[string]any)
		info["behind"], info["waitMs"], info["lagAllowedMs"] = "await", s.ReplicationLog.MaxWait.Milliseconds(), []float64{float64(s.ReplicationLog.MaxStaleness.Milliseconds()), 0, 0}
	}
}

// follow has a server's replicas follow the log as the scenario says.
func (r *fleetRun) follow(server *standin.Server) {
	if l := r.Scenario.ReplicationLog; l.MaxWait > 0 {
		server.Follow(standin.Lag{Wait: l.MaxWait, Bounds: map[string]time.Duration{"view": l.MaxStaleness}, Stops: "any"})
	}
}

// read is a client's next read.
func (r *fleetRun) read(rng *rand.Rand) string {
	s := r.Scenario
	if s.ReplicationLog.MaxWait == 0 {
		return r.purges.read(rng, s.Timeout)
	}
	if rng.Float64() < s.ReplicationLog.ReportShare {
		return standin.Read("any", s.Timeout)
	}
	return standin.Read("view", s.Timeout)
}

// takes is how long a statement takes on the mean.
func (r *fleetRun) takes(seen standin.Seen, usual time.Duration) time.Duration {
	if l := r.Scenario.ReplicationLog; l.ReportTime > 0 && strings.Contains(seen.Text, "c=any,") {
		return l.ReportTime
	}
	return usual
}

// drain has every list service say that servers drain, or are ready again.
func (r *fleetRun) drain(step faults.Step) {
	phase := map[faults.Act]string{faults.Drain: "Terminating", faults.Ready: "Ready"}[step.Act]
	for _, j := range step.Servers {
		r.servers.Phase(r.servers.Servers[j], phase)
	}
	for _, m := range r.members {
		m.List()
	}
	now := time.Since(r.began)
	for _, j := range step.Servers {
		name := r.servers.Servers[j].Name
		if step.Act == faults.Drain {
			r.drained = append(r.drained, Drained{Server: name, At: now})
			continue
		}
		for i := range r.drained {
			if d := &r.drained[i]; d.Server == name && d.Duration == 0 {
				d.Duration = now - d.At
			}
		}
	}
}

// drains counts what came to servers after their grace, and what replicas turned away.
func (r *fleetRun) drains(rep *FleetReport) {
	for _, d := range r.drained {
		for _, s := range r.servers.Servers {
			if s.Name != d.Server {
				continue
			}
			for _, seen := range s.Seen() {
				after := seen.At.Sub(r.began) - d.At
				if after < 0 || d.Duration > 0 && after >= d.Duration {
					continue
				}
				d.Last = max(d.Last, after)
				if after > r.Scenario.DrainGracePeriod+drainSlack {
					d.Late++
				}
			}
		}
		rep.Drained = append(rep.Drained, d)
	}
	for _, s := range r.servers.Servers {
		rep.StaleReadsRejected += s.Turned()
	}
}

// drainTable writes it for a person.
func (rep FleetReport) drainTable(out io.Writer) {
	for _, d := range rep.Drained {
		fmt.Fprintf(out, "%s listed as draining at %v: %d statements came after the grace, the last %v after the news\n", d.Server,
			d.At.Round(time.Millisecond), d.Late, d.Last.Round(time.Millisecond))
	}
	if rep.StaleReadsRejected > 0 {
		fmt.Fprintf(out, "%d reads turned away by replicas too far behind\n", rep.StaleReadsRejected)
	}
}
