package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"threadsail/internal/lab/faults"
)

// Scenario is an experiment of the fleet laboratory: its size, its load and its faults.
type Scenario struct {
	Poolers, Servers int           // processes of the pooler, stand-in servers (the first is primary)
	Groups           int           // of servers, in order and of about one size; the first of each is its primary
	Roles            bool          // the lists tell who is primary
	Direct           bool          // no relays between poolers and servers: for fleets that are too large for one a link
	Length           time.Duration // of the run
	Seed             uint64        // draws shares of poolers and the clients' choices
	Clients          int           // a pooler, each with one request at a time
	Hot              []int         // poolers that have HotClients instead: traffic is uneven
	HotClients       int
	Rest             time.Duration // between a client's answer and its next request
	Writes           float64       // share of the requests that are keyed writes
	Patience         time.Duration // a request's deadline
	Work             time.Duration // a server takes over a statement, half of it to one and a half
	Machines         int           // poolers are on so many machines, by turns; 0: each on its own
	Plan             *faults.Plan
	Fleet            ScenarioFleet
	Push             bool          // lists are pushed to an agent on each pooler's machine
	Grace            time.Duration // of a drain; 0: as the stand-ins' settings have it
	Unkeyed          bool          // writes carry no key, and must never run twice
	Log              ScenarioLog
}

// ScenarioLog is how replicas follow their primary's log; Wait 0: they answer from what they have.
type ScenarioLog struct {
	Wait    time.Duration // a bounded read waits so long for a replica that is too far behind
	Bound   time.Duration // how old such a read's data may be
	Reports float64       // share of the reads that any member answers and that stop a replica's log meanwhile
	Report  time.Duration // how long those take
}

// ScenarioFleet is how the poolers of a scenario know each other; Stewards 0: they don't.
type ScenarioFleet struct {
	Stewards        int           // the first so many poolers keep the leases
	Distributors    int           // the first so many bring what all share, the stewards among them; 0: by gossip
	Regions         int           // poolers are in so many regions, by turns; 0: one
	Term            time.Duration // as Fleet.Term; the drift is 3% of it, the election a third
	Relays          bool          // a relay on each link between two poolers, for faults
	SharedAddresses bool          // as Fleet.SharedAddresses
	LeastBuild      string        // as Fleet.LeastBuild, at all poolers
	Zones           int           // poolers are in so many zones, by turns; 0: one
	Verdicts        bool          // they find bad servers out together
	Limits          Limits        // as Fleet.Limits, at all poolers
	Purges          ScenarioPurges
	Shards          ScenarioShards
}

// ScenarioShards is the rows that a scenario's clients write and read by key, in a map of as many ranges as there are groups; Keys
// 0: they ask for one row, and there is no map.
type ScenarioShards struct {
	Keys    int
	Lenient bool // servers take writes of any epoch: routers alone keep order
	Faults  []ScenarioMoveFault
}

// ScenarioMoveFault is a fault that meets a move in a state.
type ScenarioMoveFault struct {
	Move    int    // the first is 1
	On      string // "prepared", or the act that servers are being told
	Act     faults.Act
	Mover   bool  // it is whoever takes the move on that it meets,
	Poolers []int // or these
	For     time.Duration
}

// ScenarioPurges is how the poolers of a scenario keep answers, and purge them; Sites 0: they don't. Poolers are dealt to sites in
// turn. Reads ask for a row of Rows, some more often than others.
type ScenarioPurges struct {
	Sites, Rows            int
	Guard, Confirm, Settle time.Duration // as PurgesPart
}

// Machine are the poolers that are on the machines of a set of poolers.
func (s Scenario) Machine(poolers []int) (out []int) {
	if s.Machines == 0 {
		return poolers
	}
	down := map[int]bool{}
	for _, i := range poolers {
		down[i%s.Machines] = true
	}
	for i := range s.Poolers {
		if down[i%s.Machines] {
			out = append(out, i)
		}
	}
	return out
}

// GroupOf is the group of the server in place j, and whether that is its group's first.
func (s Scenario) GroupOf(j int) (group int, first bool) {
	group = j * s.Groups / s.Servers
	return group, j == 0 || (j-1)*s.Groups/s.Servers != group
}

// DriftOf and ElectionOf are the drift and the election that a scenario gives its poolers for a term.
func (f ScenarioFleet) DriftOf() time.Duration    { return f.Term * 3 / 100 }
func (f ScenarioFleet) ElectionOf() time.Duration { return f.Term / 3 }

// Most a scenario may ask for on one machine; the laboratory's design note tells how they were found.
const (
	mostPoolers = 400
	mostServers = 120
	mostLength  = 10 * time.Minute
	mostZones   = 9
	mostRelayed = 32 // poolers with relays between them: each pair takes two, of two sockets
)

// LoadScenario reads a scenario file. An error names the file, the line and the key.
func LoadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(path, text)
}

// ParseScenario reads the text of a scenario; name stands for its file in errors.
func ParseScenario(name string, text []byte) (Scenario, error) {
	s, offset, err := parseScenario(text)
	if err != nil {
		return Scenario{}, fmt.Errorf("%s:%d: %w", name, 1+bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n")), err)
	}
	return s, nil
}

type scenarioStep struct {
	AtMs     float64 `json:"at_ms"`
	Act      string  `json:"act"`
	Poolers  string  `json:"poolers"`
	Servers  string  `json:"servers"`
	ForMs    float64 `json:"for_ms"`
	DelayMs  float64 `json:"delay_ms"`
	JitterMs float64 `json:"jitter_ms"`
}

// parseScenario returns the scenario, or an error with the offset in text of what it is about.
func parseScenario(text []byte) (Scenario, int64, error) {
	var file struct {
		Poolers, Servers int
		Groups           int
		Roles, Direct    bool
		Machines         int
		Clients          *int // 0: idle poolers
		Hot              string
		HotClients       int     `json:"hot_clients"`
		LengthMs         float64 `json:"length_ms"`
		Seed             uint64
		RestMs           float64 `json:"rest_ms"`
		Writes           float64
		PatienceMs       float64 `json:"patience_ms"`
		WorkMs           float64 `json:"work_ms"`
		Fleet            struct {
			Stewards        int
			Distributors    int
			Regions         int
			TermMs          float64 `json:"term_ms"`
			Relays          bool
			SharedAddresses bool   `json:"shared_addresses"`
			LeastBuild      string `json:"least_build"`
			Zones           int
			Verdicts        bool
			Limits          json.RawMessage
			Purges          struct {
				Sites, Rows int
				ClockMs     float64 `json:"clock_ms"`
				ConfirmMs   float64 `json:"confirm_ms"`
				SettleMs    float64 `json:"settle_ms"`
			}
			Shards struct {
				Keys    int
				Lenient bool
				Faults  []struct {
					Move             int
					On, Act, Poolers string
					ForMs            float64 `json:"for_ms"`
				}
			}
		}
		Push, Unkeyed bool
		GraceMs       float64 `json:"grace_ms"`
		Log           struct {
			WaitMs   float64 `json:"wait_ms"`
			BoundMs  float64 `json:"bound_ms"`
			Reports  float64
			ReportMs float64 `json:"report_ms"`
		}
		Steps []json.RawMessage
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return Scenario{}, jsonOffset(err, dec.InputOffset()), jsonError(err)
	}
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	s := Scenario{Poolers: file.Poolers, Servers: file.Servers, Groups: or(file.Groups, 1), Roles: file.Roles, Direct: file.Direct, Length: ms(file.LengthMs), Seed: file.Seed,
		Clients: 1, Rest: ms(or(file.RestMs, 50)), Writes: file.Writes, Patience: ms(or(file.PatienceMs, 2000)),
		Work: ms(file.WorkMs), Machines: file.Machines, Push: file.Push, Unkeyed: file.Unkeyed, Grace: ms(file.GraceMs),
		Log: ScenarioLog{ms(file.Log.WaitMs), ms(or(file.Log.BoundMs, 800)), file.Log.Reports, ms(file.Log.ReportMs)}}
	if file.Clients != nil {
		s.Clients = *file.Clients
	}
	switch {
	case s.Poolers < 1 || s.Poolers > mostPoolers:
		return s, 0, fmt.Errorf("poolers: %d is not from 1 to %d", s.Poolers, mostPoolers)
	case s.Servers < 1 || s.Servers > mostServers:
		return s, 0, fmt.Errorf("servers: %d is not from 1 to %d", s.Servers, mostServers)
	case s.Groups < 1 || s.Groups > s.Servers:
		return s, 0, fmt.Errorf("groups: %d is not from 1 to the number of servers", s.Groups)
	case s.Machines < 0 || s.Machines > s.Poolers:
		return s, 0, fmt.Errorf("machines: %d is not from 0 to the number of poolers", s.Machines)
	case s.Length <= 0 || s.Length > mostLength:
		return s, 0, fmt.Errorf("length_ms: %v is not above 0 and within %v", s.Length, mostLength)
	case s.Clients < 0 || s.Clients > 16:
		return s, 0, fmt.Errorf("clients: %d is not from 0 to 16", s.Clients)
	case s.Writes < 0 || s.Writes > 1:
		return s, 0, fmt.Errorf("writes: %v is no share from 0 to 1", s.Writes)
	case s.Rest < time.Millisecond || s.Patience < 10*time.Millisecond:
		return s, 0, errors.New("rest_ms: under 1, or patience_ms under 10")
	case s.Work < 0 || s.Work > s.Patience:
		return s, 0, fmt.Errorf("work_ms: %v is not from 0 to the patience", s.Work)
	case s.Grace < 0 || s.Grace > s.Length:
		return s, 0, fmt.Errorf("grace_ms: %v is not from 0 to the length", s.Grace)
	case s.Log.Wait < 0 || s.Log.Bound < 0 || s.Log.Reports < 0 || s.Log.Reports > 1 || s.Log.Report < 0 || s.Log.Report > s.Patience:
		return s, 0, errors.New("log: wait_ms or bound_ms is below 0, reports no share from 0 to 1, or report_ms not from 0 to the patience")
	}
	s.Fleet = ScenarioFleet{Stewards: file.Fleet.Stewards, Distributors: file.Fleet.Distributors, Regions: file.Fleet.Regions, Term: or(ms(file.Fleet.TermMs), defaultTerm), Relays: file.Fleet.Relays,
		SharedAddresses: file.Fleet.SharedAddresses, LeastBuild: file.Fleet.LeastBuild, Zones: file.Fleet.Zones, Verdicts: file.Fleet.Verdicts}
	purges := file.Fleet.Purges
	s.Fleet.Purges = ScenarioPurges{purges.Sites, or(purges.Rows, 1), or(ms(purges.ClockMs), defaultGuard), or(ms(purges.ConfirmMs), defaultConfirm), ms(purges.SettleMs)}
	switch fl := s.Fleet; {
	case fl.Stewards == 0:
	case fl.Stewards%2 == 0 || fl.Stewards < 0 || fl.Stewards > min(mostStewards, s.Poolers):
		return s, 0, fmt.Errorf("fleet.stewards: %d is not an odd number of the poolers, up to %d", fl.Stewards, mostStewards)
	case fl.Distributors != 0 && (fl.Distributors < fl.Stewards || fl.Distributors > min(mostDistributors, s.Poolers)):
		return s, 0, fmt.Errorf("fleet.distributors: %d is not from the number of stewards to that of poolers, or over %d", fl.Distributors, mostDistributors)
	case fl.Regions < 0 || fl.Regions > mostZones:
		return s, 0, fmt.Errorf("fleet.regions: %d is not from 0 to %d", fl.Regions, mostZones)
	case fl.Zones < 0 || fl.Zones > mostZones:
		return s, 0, fmt.Errorf("fleet.zones: %d is not from 0 to %d", fl.Zones, mostZones)
	case fl.Term < leastTerm:
		return s, 0, fmt.Errorf("fleet.term_ms: under %v", leastTerm)
	case fl.Purges.Sites < 0 || fl.Purges.Sites > s.Poolers || fl.Purges.Rows < 1:
		return s, 0, fmt.Errorf("fleet.purges.sites: %d is not from 0 to the number of poolers, or rows is under 1", fl.Purges.Sites)
	case fl.Relays && s.Poolers > mostRelayed:
		return s, 0, fmt.Errorf("fleet.relays: %d poolers are more than %d", s.Poolers, mostRelayed)
	}
	limits, offset, err := parseLimits(file.Fleet.Limits)
	if err != nil {
		return s, int64(bytes.Index(text, file.Fleet.Limits)) + offset, fmt.Errorf("fleet.%w", err)
	}
	s.Fleet.Limits = limits
	rng := rand.New(rand.NewPCG(s.Seed, 0xfa17))
	s.Fleet.Shards = ScenarioShards{Keys: file.Fleet.Shards.Keys, Lenient: file.Fleet.Shards.Lenient}
	if n := s.Fleet.Shards.Keys; n != 0 && (n < 2*s.Groups || n > 1000 || s.Groups < 2 || s.Fleet.Stewards == 0) {
		return s, 0, fmt.Errorf("fleet.shards.keys: %d is not from two a group to 1000, or there are no two groups, or no stewards", n)
	}
	for i, f := range file.Fleet.Shards.Faults {
		one := ScenarioMoveFault{Move: f.Move, On: f.On, Act: faults.Act(f.Act), Mover: f.Poolers == "mover", For: ms(f.ForMs)}
		var err error
		if !one.Mover {
			one.Poolers, err = faults.Pick(f.Poolers, s.Poolers, rng)
		}
		if err != nil || one.Act.Undo() == "" || one.For <= 0 || one.Act.OnPeers() && !s.Fleet.Relays {
			return s, 0, fmt.Errorf("fleet.shards.faults[%d]: no poolers, no fault that ends, or no relays for it: %v", i, err)
		}
		s.Fleet.Shards.Faults = append(s.Fleet.Shards.Faults, one)
	}
	hot, err := faults.Pick(file.Hot, s.Poolers, rng)
	if s.Hot, s.HotClients = hot, or(file.HotClients, s.Clients); err != nil {
		return s, 0, fmt.Errorf("hot: %w", err)
	}
	if s.HotClients < 0 || s.HotClients > 64 {
		return s, 0, fmt.Errorf("hot_clients: %d is not from 0 to 64", s.HotClients)
	}
	at := stepOffsets(text)
	at = append(at, make([]int64, max(0, len(file.Steps)-len(at)))...)
	steps := make([]faults.Step, 0, len(file.Steps))
	for i, raw := range file.Steps {
		var st scenarioStep
		one := json.NewDecoder(bytes.NewReader(raw))
		one.DisallowUnknownFields()
		if err := one.Decode(&st); err != nil {
			return s, at[i], fmt.Errorf("steps[%d]: %w", i, jsonError(err))
		}
		holder, dealer := st.Poolers == "holder", st.Poolers == "dealer"
		var poolers []int
		if !holder && !dealer {
			poolers, err = faults.Pick(st.Poolers, s.Poolers, rng)
		}
		switch act := faults.Act(st.Act); {
		case err != nil:
			return s, at[i], fmt.Errorf("steps[%d].poolers: %w", i, err)
		case holder && s.Fleet.Stewards == 0:
			return s, at[i], fmt.Errorf("steps[%d].poolers: holder: the poolers have no stewards", i)
		case dealer && (s.Fleet.Stewards == 0 || len(s.Fleet.Limits.List) == 0):
			return s, at[i], fmt.Errorf("steps[%d].poolers: dealer: the poolers have no limits", i)
		case act == faults.Wipe && slices.ContainsFunc(poolers, func(i int) bool { return i < s.Fleet.Stewards }):
			return s, at[i], fmt.Errorf("steps[%d].poolers: wipe: the first %d are stewards, which must not forget what they have said", i, s.Fleet.Stewards)
		case act.OnPurges() && s.Fleet.Purges.Sites == 0:
			return s, at[i], fmt.Errorf("steps[%d].act: %s needs fleet.purges", i, act)
		case act == faults.Reshard && s.Fleet.Shards.Keys == 0:
			return s, at[i], fmt.Errorf("steps[%d].act: %s needs fleet.shards", i, act)
		case act.OnPeers() && !s.Fleet.Relays:
			return s, at[i], fmt.Errorf("steps[%d].act: %s needs fleet.relays", i, act)
		case act.OnLinks() && s.Direct:
			return s, at[i], fmt.Errorf("steps[%d].act: %s needs relays, and direct is true", i, act)
		}
		servers, err := faults.Pick(st.Servers, s.Servers, rng)
		if err != nil {
			return s, at[i], fmt.Errorf("steps[%d].servers: %w", i, err)
		}
		steps = append(steps, faults.Step{At: ms(st.AtMs), Act: faults.Act(st.Act), Poolers: poolers, Servers: servers,
			Holder: holder, Dealer: dealer, For: ms(st.ForMs), Delay: ms(st.DelayMs), Jitter: ms(st.JitterMs)})
		if steps[i].At > s.Length {
			return s, at[i], fmt.Errorf("steps[%d].at_ms: after the end of the run", i)
		}
	}
	plan, err := faults.New(steps, s.Poolers, s.Servers)
	if err != nil {
		var i int
		if _, _ = fmt.Sscanf(err.Error(), "steps[%d]", &i); i < 0 || i >= len(at) {
			i = 0
		}
		return s, at[i], err
	}
	s.Plan = plan
	return s, 0, nil
}

// stepOffsets finds where each element of the top object's "steps" begins, in a text that is known to be JSON.
func stepOffsets(text []byte) []int64 {
	dec := json.NewDecoder(bytes.NewReader(text))
	var out []int64
	if t, _ := dec.Token(); t != json.Delim('{') {
		return nil
	}
	for dec.More() {
		k, _ := dec.Token()
		if k != "steps" {
			var skip json.RawMessage
			_ = dec.Decode(&skip)
			continue
		}
		if t, _ := dec.Token(); t != json.Delim('[') {
			return nil
		}
		for dec.More() {
			// The offset after the last token read ends before the element's own spaces and comma.
			start := dec.InputOffset()
			for start < int64(len(text)) && bytes.IndexByte([]byte(" \t\r\n,"), text[start]) >= 0 {
				start++
			}
			out = append(out, start)
			var skip json.RawMessage
			_ = dec.Decode(&skip)
		}
		return out
	}
	return out
}
