package config

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"threadsail/internal/jsonfile"
)

// SettingsFile is the form of the object "settings". Unknown keys are skipped. Files begin each key with a small letter, and keys match
// without regard to case; the tags begin with a capital because Config.Digest is of the text that they give. Names that end in Ms are
// in milliseconds.
type SettingsFile struct {
	Poolers         int                 `json:"Balancers"` // poolers of the fleet
	PoolerIndex     int                 `json:"Me"`        // this pooler's number among them, from 0
	Zone            int                 `json:"Zone"`      // this pooler's zone, by its place in Zones
	Discovery       string              `json:"Discovery"` // "ask": the list of servers is polled; "push": it is streamed
	EventIntervalMs float64             `json:"TickMs"`    // shortest span between two events of the host
	Capabilities    CapabilitySettings  `json:"Caps"`
	Policy          PolicyTimes         `json:"Contract"`
	Replication     ReplicationSettings `json:"FamilyInfo"`
	Classes         []ClassSettings     `json:"Lanes"` // classes of requests
	Zones           []string            `json:"Zones"`
	Clients         ClientSettings      `json:"Clients"`
	Health          HealthSettings      `json:"Report"`
}

// ClientSettings is what clients do.
type ClientSettings struct {
	MarksRetry bool `json:"MarksRetry"` // they mark a request that is a retry
}

// HealthSettings is how servers report their health.
type HealthSettings struct {
	Fields []string `json:"Fields"` // that a report has; roleField is the server's role
	How    string   `json:"How"`    // "none", "probe" or "answers"
}

// roleField is the name that a server's role has in a health report.
const roleField = "x1"

// CapabilitySettings is what the site allows.
type CapabilitySettings struct {
	IdleTimeoutMs    float64 `json:"ConnIdleMs"` // after which an unused connection is closed
	ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
	MaxConnections   int     `json:"MaxOpen"`     // connections to servers
	MaxAttempts      int     `json:"MaxAttempts"` // of one request
	MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
	Cancel           bool    `json:"MayCancel"`    // an attempt that has begun
	Messages         bool    `json:"MayTell"`      // poolers may send each other messages
	Probes           bool    `json:"Probing"`      // servers may be probed
	RetryAfter       bool    `json:"RetryAfter"`   // clients heed a time after which to retry
	Hedging          bool    `json:"SecondCopies"` // hedged attempts are allowed
}

// PolicyTimes are the times and thresholds of the load-balancing policy.
type PolicyTimes struct {
	AnswerSlackMs      float64 `json:"AnswerSlackMs"`     // after a client's deadline, in which an answer still counts
	MaxPollIntervalMs  float64 `json:"MustAskInMs"`       // longest span between two polls of the list of servers
	SlowStartCapacity  float64 `json:"ColdFrom"`          // share of its capacity, from 0 to 1, that a server has at its start
	SlowStartMs        float64 `json:"ColdMs"`            // span from a server's start until it has its full capacity
	DrainGraceMs       float64 `json:"DrainGraceMs"`      // for which a draining or removed primary still takes writes
	OverloadFactor     float64 `json:"OverloadFactor"`    // a server in slow start fails under this multiple of its present capacity,
	OverloadIntervalMs float64 `json:"OverloadForMs"`     // sent to it over this span
	IgnoreRemoval      bool    `json:"OnlyDrainingBinds"` // a server removed from the list stays in use unless it was listed as draining
}

// ReplicationSettings describes replicated groups of servers.
type ReplicationSettings struct {
	PositionEpochMs  float64   `json:"BaseTimeMs"`   // time from which replication positions count
	StaleReads       string    `json:"Behind"`       // what a replica does with a read that it is too far behind for: "none", "bounce" or "await"
	Access           []string  `json:"ClassRead"`    // by class, what its requests read: see accessValues
	MaxStalenessMs   []float64 `json:"LagAllowedMs"` // by class, how stale its reads may be
	ListedRole       string    `json:"ShowsRole"`    // how the list of servers follows a change of primary
	SessionPositions string    `json:"Tokens"`       // who keeps a session's position: "brought" by the client, or "kept" by the pooler
	StaleReadWaitMs  float64   `json:"WaitMs"`       // for which a replica that awaits its position waits
}

// ClassSettings is a class of requests.
type ClassSettings struct {
	Name               string  `json:"Name"`
	Idempotency        string  `json:"Semantics"` // whether a request may run twice: "free", "guarded" by its key, or "single_shot"
	DedupScope         string  `json:"Group"`     // where a key guards a request: "all", "zone" or "cell"
	LatencyObjectiveMs float64 `json:"AimMs"`
	TotalTimeoutMs     float64 `json:"HardLimitMs"` // over all attempts
	LateWeightFraction float64 `json:"LateWorth"`   // share of PriorityWeight that an answer after the objective has
	PriorityWeight     float64 `json:"Worth"`       // value of an answer, in a unit that the classes share
	DedupWindowMs      float64 `json:"WindowMs"`    // for which a key guards
}

// ParseSettings reads the text of a settings object.
func ParseSettings(text []byte) (*SettingsFile, error) {
	f := &SettingsFile{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("unreadable settings: %w", jsonfile.Describe(err))
	}
	return f, nil
}

// digest is the same at all poolers of a fleet that have the same settings: it leaves out the pooler's own number and zone.
func (f SettingsFile) digest() string {
	f.PoolerIndex, f.Zone = 0, 0
	text, err := json.Marshal(f)
	if err != nil {
		panic(err) // they were read from JSON
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}
