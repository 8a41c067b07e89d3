package capacity

import "math"

// Plan is the size that is coming, as docs/capacity/plan.json tells it. All numbers are above 0.
type Plan struct {
	Poolers        int        `json:"poolers"`
	Databases      int        `json:"databases"`
	Clients        int        `json:"clients"` // connections
	Statements     float64    `json:"statements_per_s"`
	Regions        []int      `json:"regions"` // zones of each
	PrimaryChanges Changes    `json:"primary_changes"`
	ConfigChanges  Changes    `json:"config_changes"`
	Control        Budget     `json:"control"`
	Machines       Machines   `json:"machines"`
	Faults         PlanFaults `json:"faults"`
	Assumed        Assumed    `json:"assumed"`
	Runs           []string   `json:"runs"`     // the records that the page rests on; a later one's slope stands for an earlier one's
	LeftOut        []string   `json:"left_out"` // RECORD/PHASE of these that don't count
	Alike          []string   `json:"alike"`    // commits between which the pooler did not change, though the laboratory did
	Measured       []string   `json:"measured"` // slopes that these must have, as Key.String writes them
}

// Changes is how often something changes, and how soon it must be over.
type Changes struct {
	PerDay float64 `json:"per_day"`
	Within float64 `json:"within_s"`
}

// Budget is what one pooler may spend on control.
type Budget struct {
	Core   float64 `json:"core"` // share of one
	Memory float64 `json:"memory_bytes"`
	Bytes  float64 `json:"bytes_per_s"` // in and out together
}

// Machines are those set aside for control.
type Machines struct {
	Count       int     `json:"count"`
	Cores       float64 `json:"cores"`
	Memory      float64 `json:"memory_bytes"`
	Bytes       float64 `json:"bytes_per_s"`
	Descriptors int     `json:"descriptors"`
}

// PlanFaults is how often what fails.
type PlanFaults struct {
	MachinesPerDay float64 `json:"machines_per_day"`
	RestartsPerDay float64 `json:"restarts_per_day"`
	RestartsAtOnce int     `json:"restarts_in_a_minute"`
	RacksPerWeek   float64 `json:"racks_per_week"`
	ZonesPerYear   float64 `json:"zones_per_year"`
	Apart          float64 `json:"regions_apart_s"`
}

// Assumed is what the operators did not say and the page takes for given.
type Assumed struct {
	Group          int `json:"databases_per_group"`
	PoolersPerHost int `json:"poolers_per_machine"`
	HostsPerRack   int `json:"machines_per_rack"`
}

// Zones of all regions together.
func (p Plan) Zones() (n int) {
	for _, z := range p.Regions {
		n += z
	}
	return n
}

// Groups of databases, each with one primary.
func (p Plan) Groups() int { return int(math.Ceil(float64(p.Databases) / float64(p.Assumed.Group))) }

// InZone is a zone's part of a number, InRegion the largest region's.
func (p Plan) InZone(n int) int { return int(math.Ceil(float64(n) / float64(p.Zones()))) }

// InRegion is documented with InZone.
func (p Plan) InRegion(n int) int {
	most := 0
	for _, z := range p.Regions {
		most = max(most, z)
	}
	return int(math.Ceil(float64(n) * float64(most) / float64(p.Zones())))
}

// InRack is how many poolers a rack holds.
func (p Plan) InRack() int { return p.Assumed.PoolersPerHost * p.Assumed.HostsPerRack }

// Of is how many there are at the plan's size of what a row's Per counts; ok false: the plan does not say.
func (p Plan) Of(per string) (n int, ok bool) {
	switch per {
	case "pooler":
		return p.Poolers, true
	case "server":
		return p.Databases, true
	case "group":
		return p.Groups(), true
	case "client":
		return p.Clients / p.Poolers, true
	case "statement":
		return int(math.Ceil(p.Statements / float64(p.Poolers))), true
	}
	return 0, false
}
