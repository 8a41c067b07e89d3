package lab

import (
	"fmt"
	"io"
	"time"

	"threadsail/internal/lab/judge"
)

// FleetReport is the result of a run, as clients, relays and stand-ins recorded it. The JSON keys are those of earlier reports.
type FleetReport struct {
	judge.Verdict
	Poolers            int             `json:"Poolers"`
	Servers            int             `json:"Servers"`
	Length             time.Duration   `json:"Length"`
	BeganAt            time.Time       `json:"Began"`       // of the clients and the plan
	Seconds            []Counts        `json:"Seconds"`     // by the second in which requests ended
	NewBySecond        []int           `json:"NewBySecond"` // new connections at all servers, by the second
	P50                time.Duration   `json:"P50"`
	P99                time.Duration   `json:"P99"`
	Connections        [3]float64      `json:"Connections"`    // new connections a server over the run: least, mean, most
	Open               [3]float64      `json:"Open"`           // connections open at a server, its mean over the run's seconds: least, mean, most
	OpenReplicas       [3]float64      `json:"OpenReplicas"`   // the same at those that are replicas at the end
	MaxOpen            int             `json:"OpenMost"`       // connections open at one server at any sampled second
	ResidentMB         [3]float64      `json:"Resident"`       // resident memory of a pooler in MB, mean over poolers: at the first sample, at the last, most of any
	Probes             int             `json:"Probes"`         // health asked for at servers, all servers
	ProbesBySecond     []int           `json:"ProbesBySecond"` // the same by the second
	RequestsWhileCold  int             `json:"Cold"`           // requests' statements at servers in the first second after they came up again
	Worst100ms         [2]float64      `json:"Worst100ms"`     // new connections at one server in its worst 100 ms: mean over servers, most
	WorstSecond        [2]float64      `json:"WorstSecond"`    // the same in its worst second
	AfterKill          [2]float64      `json:"AfterKill"`      // new connections at one server from the first kill on, in the worst 100 ms and second; 0: none
	LimitUse           []LimitUse      `json:"Over,omitempty"`
	ListRequests       int             `json:"ListCalls"`          // watches opened at the list services, all poolers
	ListRequestsAt     [][]time.Time   `json:"-"`                  // of them, by pooler, those at the list service that it has last
	Starts             int             `json:"Starts"`             // pooler processes started, restarts among them
	Contacted          [][]bool        `json:"-"`                  // by pooler, then server place: whether a connection came to who stands there last
	Journals           []string        `json:"Journals,omitempty"` // of a fleet that knows its members; they are gone with the run
	Purges             []judge.Purge   `json:"Purges,omitempty"`
	Shards             *Shards         `json:"Shards,omitempty"`
	Reads              int             `json:"Reads"`          // served to clients, where purges are played
	ReadsAtServers     int             `json:"ReadsAtServers"` // statements of reads that came to servers, repeats among them
	Requests           []judge.Request `json:"Requests"`
	Outages            []judge.Outage  `json:"Outages"`
	Drained            []Drained       `json:"Drained,omitempty"`
	StaleReadsRejected int             `json:"Turned"` // reads that replicas too far behind turned away
	BadServers         []BadServer     `json:"Bad,omitempty"`
	FalseEjections     int             `json:"FalseVerdicts"` // on servers that were not bad for all poolers
}

// report puts together what the run has recorded.
func (r *fleetRun) report() FleetReport {
	outages := r.outages()
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := FleetReport{
		Verdict:  judge.Judge(r.requests, outages, r.servers.Ledger.Overlaps()),
		Poolers:  len(r.poolers),
		Servers:  len(r.servers.Servers),
		Length:   r.Scenario.Length,
		BeganAt:  r.began,
		P50:      time.Duration(r.took.ValueAtQuantile(50)) * time.Microsecond,
		P99:      time.Duration(r.took.ValueAtQuantile(99)) * time.Microsecond,
		Starts:   r.starts,
		Journals: r.peers.journals(r.members),
		Requests: r.requests,
		Outages:  outages,
	}
	r.countRequests(&rep)
	r.countOpenConnections(&rep)
	r.countProbes(&rep)
	r.averageMemory(&rep)
	r.countNewConnections(&rep)
	r.countListRequests(&rep)
	r.noteContacts(&rep)
	r.verdicts(&rep)
	r.drains(&rep)
	r.findBursts(&rep)
	r.limited(&rep)
	r.purged(&rep)
	r.shards.judge(&rep, r.Scenario.Groups)
	return rep
}

func (r *fleetRun) outages() []judge.Outage {
	var outages []judge.Outage
	for _, p := range r.poolers {
		p.mu.Lock()
		outages = append(outages, p.outages...)
		p.mu.Unlock()
	}
	return outages
}

// countRequests counts the outcomes of requests by the second in which they ended.
func (r *fleetRun) countRequests(rep *FleetReport) {
	for _, q := range r.requests {
		second := int(q.EndedAt.Sub(r.began) / time.Second)
		if second < 0 {
			continue
		}
		for len(rep.Seconds) <= second {
			rep.Seconds = append(rep.Seconds, Counts{})
		}
		switch c := &rep.Seconds[second]; {
		case q.Outcome == judge.Served:
			c.Served++
		case q.Outcome == judge.Refused:
			c.Refused++
		case q.Outcome == judge.Failed:
			c.Failed++
		case !q.WhileFaulting:
			c.Lost++
		}
	}
}

// spread is the smallest, the mean and the largest of some values. Its values are at least 0.
type spread [3]float64

// newSpread returns a spread without values.
func newSpread() spread { return spread{-1, 0, 0} }

// add adds one of n values.
func (s *spread) add(value float64, n int) {
	if s[0] < 0 || value < s[0] {
		s[0] = value
	}
	s[1] += value / float64(n)
	s[2] = max(s[2], value)
}

// countOpenConnections averages the connections open at each server over the samples.
func (r *fleetRun) countOpenConnections(rep *FleetReport) {
	replicas := 0
	for _, s := range r.servers.Servers {
		if !s.Primary() {
			replicas++
		}
	}
	open, openReplicas := newSpread(), newSpread()
	for i, s := range r.servers.Servers {
		mean := float64(r.open[i]) / float64(max(r.samples, 1))
		open.add(mean, len(r.servers.Servers))
		if !s.Primary() {
			openReplicas.add(mean, replicas)
		}
	}
	rep.Open, rep.OpenReplicas = open, openReplicas
}

// countProbes counts probes, and statements at servers that have just come up again.
func (r *fleetRun) countProbes(rep *FleetReport) {
	for i, s := range r.servers.Servers {
		probes := s.ProbedAt()
		rep.Probes += len(probes)
		for _, at := range probes {
			count(&rep.ProbesBySecond, at.Sub(r.began))
		}
		for _, seen := range s.Seen() {
			for _, up := range r.ups {
				if up.server == i && !seen.At.Before(up.at) && seen.At.Sub(up.at) < time.Second {
					rep.RequestsWhileCold++
				}
			}
		}
	}
}

func (r *fleetRun) averageMemory(rep *FleetReport) {
	poolers := float64(len(r.poolers))
	rep.ResidentMB = [3]float64{r.rss[0] / poolers, r.rss[1] / poolers, r.rss[2]}
}

// countNewConnections counts the connections that came to each server over the run.
func (r *fleetRun) countNewConnections(rep *FleetReport) {
	smallest, largest, sum := -1, 0, 0
	for _, s := range r.servers.Servers {
		connections := s.Came()
		if smallest < 0 || connections < smallest {
			smallest = connections
		}
		largest = max(largest, connections)
		sum += connections
	}
	rep.Connections = [3]float64{float64(smallest), float64(sum) / float64(len(r.servers.Servers)), float64(largest)}
}

func (r *fleetRun) countListRequests(rep *FleetReport) {
	for _, l := range r.lists {
		rep.ListRequests += l.Watches()
	}
	for _, m := range r.members {
		rep.ListRequestsAt = append(rep.ListRequestsAt, m.Discovery.WatchedAt())
	}
}

// noteContacts notes which pooler has connected to which server.
func (r *fleetRun) noteContacts(rep *FleetReport) {
	for _, links := range r.relays {
		contacted := make([]bool, len(links))
		for i, link := range links {
			contacted[i] = link.Accepted() > 0
		}
		rep.Contacted = append(rep.Contacted, contacted)
	}
}

// findBursts finds the most new connections that came to a server within a short time.
func (r *fleetRun) findBursts(rep *FleetReport) {
	servers := float64(len(r.servers.Servers))
	for _, s := range r.servers.Servers {
		at := s.CameAt()
		for _, t := range at {
			count(&rep.NewBySecond, t.Sub(r.began))
		}
		addBurst(&rep.Worst100ms, worst(at, 100*time.Millisecond), servers)
		addBurst(&rep.WorstSecond, worst(at, time.Second), servers)
	}
}

// addBurst adds a server's worst burst to the mean and the most over all servers.
func addBurst(meanAndMost *[2]float64, connections int, servers float64) {
	meanAndMost[0] += float64(connections) / servers
	meanAndMost[1] = max(meanAndMost[1], float64(connections))
}

// count adds one to the second in which something came; what came before the beginning is left out.
func count(bySecond *[]int, at time.Duration) {
	if at < 0 {
		return
	}
	for len(*bySecond) <= int(at/time.Second) {
		*bySecond = append(*bySecond, 0)
	}
	(*bySecond)[at/time.Second]++
}

// worst is the most of the sorted times within any span.
func worst(at []time.Time, span time.Duration) (most int) {
	from := 0
	for to := range at {
		for at[to].Sub(at[from]) >= span {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Table writes the report for a person.
func (rep FleetReport) Table(out io.Writer) {
	fmt.Fprintf(out, "%d poolers (%d starts), %d servers\n", rep.Poolers, rep.Starts, rep.Servers)
	fmt.Fprintf(out, "served %d, refused %d, failed %d, lost %d, excused by an outage of their pooler %d; overlapping attempts %d\n",
		rep.Served, rep.Refused, rep.Failed, rep.Lost, rep.Excused, rep.Overlaps)
	fmt.Fprintf(out, "served in %v at the median, %v at the 99th percentile\n", rep.P50, rep.P99)
	fmt.Fprintf(out, "new connections a server: least %.0f, mean %.1f, most %.0f; list calls %d\n",
		rep.Connections[0], rep.Connections[1], rep.Connections[2], rep.ListRequests)
	fmt.Fprintf(out, "connections open at a server, its mean over the seconds: least %.1f, mean %.1f, most %.1f\n",
		rep.Open[0], rep.Open[1], rep.Open[2])
	fmt.Fprintf(out, "the same at replicas: least %.1f, mean %.1f, most %.1f\n", rep.OpenReplicas[0], rep.OpenReplicas[1], rep.OpenReplicas[2])
	fmt.Fprintf(out, "resident memory of a pooler: %.1f MB at the first second, %.1f MB at the last, %.1f MB at most\n",
		rep.ResidentMB[0], rep.ResidentMB[1], rep.ResidentMB[2])
	fmt.Fprintf(out, "probes %d; requests at servers in their first second back %d\n", rep.Probes, rep.RequestsWhileCold)
	fmt.Fprintf(out, "new connections at one server in its worst 100 ms: %.1f on the mean, %.0f at most; in its worst second %.1f, %.0f\n",
		rep.Worst100ms[0], rep.Worst100ms[1], rep.WorstSecond[0], rep.WorstSecond[1])
	rep.limitsTable(out)
	rep.badTable(out)
	rep.drainTable(out)
	fmt.Fprintln(out, "second  served refused failed lost")
	for i, c := range rep.Seconds {
		fmt.Fprintf(out, "%6d  %6d %7d %6d %4d\n", i, c.Served, c.Refused, c.Failed, c.Lost)
	}
	if rep.Reads > 0 {
		fmt.Fprintf(out, "reads served %d, at servers %d: %.3f of the servers' work saved\n", rep.Reads, rep.ReadsAtServers, 1-float64(rep.ReadsAtServers)/float64(rep.Reads))
	}
	if rep.Shards != nil {
		rep.Shards.table(out)
	}
	for _, p := range rep.Purges {
		fmt.Fprintf(out, "%s: noted by %d poolers, %d within a second, the first %v and the last %v behind it; stale answers %d, noted twice %d\n",
			p.Name, p.Poolers, p.InTime, p.First.Round(time.Millisecond), p.Last.Round(time.Millisecond), p.Stale, p.Repeated)
	}
	for _, b := range rep.Broken {
		fmt.Fprintln(out, "BROKEN:", b)
	}
}
