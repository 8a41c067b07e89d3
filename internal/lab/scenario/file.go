package scenario

import (
	"encoding/json"
	"os"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/jsonfile"
)

// Defaults for what a file leaves out.
const (
	defaultThinkTimeMs    = 50
	defaultTimeoutMs      = 2000
	defaultMaxStalenessMs = 800
)

// form is the form of a scenario file.
type form struct {
	Poolers            int               `json:"poolers"`
	Servers            int               `json:"servers"`
	Groups             int               `json:"groups"`
	RolesListed        bool              `json:"roles"`
	Direct             bool              `json:"direct"`
	Machines           int               `json:"machines"`
	Clients            *int              `json:"clients"` // 0: idle poolers
	Hot                string            `json:"hot"`
	HotClients         int               `json:"hot_clients"`
	LengthMs           float64           `json:"length_ms"`
	Seed               uint64            `json:"seed"`
	ThinkTimeMs        float64           `json:"rest_ms"`
	WriteShare         float64           `json:"writes"`
	TimeoutMs          float64           `json:"patience_ms"`
	ServiceTimeMs      float64           `json:"work_ms"`
	Fleet              fleetForm         `json:"fleet"`
	PushLists          bool              `json:"push"`
	Unkeyed            bool              `json:"unkeyed"`
	DrainGracePeriodMs float64           `json:"grace_ms"`
	Log                logForm           `json:"log"`
	Steps              []json.RawMessage `json:"steps"`
}

type fleetForm struct {
	Voters          int             `json:"stewards"`
	Distributors    int             `json:"distributors"`
	Regions         int             `json:"regions"`
	TermMs          float64         `json:"term_ms"`
	Relays          bool            `json:"relays"`
	SharedAddresses bool            `json:"shared_addresses"`
	MinBuild        string          `json:"least_build"`
	Zones           int             `json:"zones"`
	Outliers        bool            `json:"verdicts"`
	Limits          json.RawMessage `json:"limits"`
	Purges          purgesForm      `json:"purges"`
	Shards          shardsForm      `json:"shards"`
}

type purgesForm struct {
	Sites           int     `json:"sites"`
	Rows            int     `json:"rows"`
	GuardMs         float64 `json:"clock_ms"`
	MaxReplicaAgeMs float64 `json:"confirm_ms"`
	SettleMs        float64 `json:"settle_ms"`
}

type shardsForm struct {
	Keys    int             `json:"keys"`
	Lenient bool            `json:"lenient"`
	Faults  []moveFaultForm `json:"faults"`
}

type moveFaultForm struct {
	Move    int     `json:"move"`
	On      string  `json:"on"`
	Act     string  `json:"act"`
	Poolers string  `json:"poolers"`
	ForMs   float64 `json:"for_ms"`
}

type logForm struct {
	MaxWaitMs      float64 `json:"wait_ms"`
	MaxStalenessMs float64 `json:"bound_ms"`
	ReportShare    float64 `json:"reports"`
	ReportTimeMs   float64 `json:"report_ms"`
}

// Load reads a scenario file. An error names the file, the line and the key.
func Load(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(path, text)
}

// Parse reads the text of a scenario; name stands for its file in errors.
func Parse(name string, text []byte) (Scenario, error) {
	s, err := parse(text)
	if err != nil {
		return Scenario{}, jsonfile.LocateFrom(name, text, err)
	}
	return s, nil
}

// parse reads a scenario's text. An error that has a place other than the first line is a *jsonfile.OffsetError.
func parse(text []byte) (Scenario, error) {
	var form form
	if err := jsonfile.DecodeValue(text, &form); err != nil {
		return Scenario{}, err
	}
	s := form.scenario()
	if err := s.check(); err != nil {
		return s, err
	}
	s.Fleet = form.Fleet.fleet()
	if err := s.checkFleet(); err != nil {
		return s, err
	}
	var err error
	if s.Fleet.Limits, err = form.Fleet.limits(text); err != nil {
		return s, err
	}
	picks := s.newPicker()
	if s.Fleet.Shards, err = form.Fleet.Shards.shards(&s, picks); err != nil {
		return s, err
	}
	if err := s.setHot(&form, picks); err != nil {
		return s, err
	}
	s.Plan, err = s.plan(text, form.Steps, picks)
	return s, err
}

// scenario takes over all but the fleet, the hot poolers and the steps, and fills in defaults.
func (f *form) scenario() Scenario {
	s := Scenario{
		Size:             Size{Poolers: f.Poolers, Servers: f.Servers, Groups: orDefault(f.Groups, 1)},
		RolesListed:      f.RolesListed,
		Direct:           f.Direct,
		Length:           milliseconds(f.LengthMs),
		Seed:             f.Seed,
		Traffic:          Traffic{Clients: 1, ThinkTime: milliseconds(orDefault(f.ThinkTimeMs, defaultThinkTimeMs)), WriteShare: f.WriteShare, Timeout: milliseconds(orDefault(f.TimeoutMs, defaultTimeoutMs))},
		ServiceTime:      milliseconds(f.ServiceTimeMs),
		Machines:         f.Machines,
		PushLists:        f.PushLists,
		DrainGracePeriod: milliseconds(f.DrainGracePeriodMs),
		Unkeyed:          f.Unkeyed,
		ReplicationLog: ReplicationLog{
			MaxWait:      milliseconds(f.Log.MaxWaitMs),
			MaxStaleness: milliseconds(orDefault(f.Log.MaxStalenessMs, defaultMaxStalenessMs)),
			ReportShare:  f.Log.ReportShare,
			ReportTime:   milliseconds(f.Log.ReportTimeMs),
		},
	}
	if f.Clients != nil {
		s.Clients = *f.Clients
	}
	return s
}

// fleet takes over all of the fleet but its limits and shards, and fills in defaults.
func (f *fleetForm) fleet() Fleet {
	return Fleet{
		Voters:          f.Voters,
		Distributors:    f.Distributors,
		Regions:         f.Regions,
		Term:            orDefault(milliseconds(f.TermMs), config.DefaultTerm),
		Relays:          f.Relays,
		SharedAddresses: f.SharedAddresses,
		MinBuild:        f.MinBuild,
		Zones:           f.Zones,
		Outliers:        f.Outliers,
		Purges: Purges{
			Sites:         f.Purges.Sites,
			Rows:          orDefault(f.Purges.Rows, 1),
			Guard:         orDefault(milliseconds(f.Purges.GuardMs), config.DefaultPurgeGuard),
			MaxReplicaAge: orDefault(milliseconds(f.Purges.MaxReplicaAgeMs), config.DefaultMaxReplicaAge),
			Settle:        milliseconds(f.Purges.SettleMs),
		},
	}
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
