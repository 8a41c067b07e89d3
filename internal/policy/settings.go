package policy

import (
	"fmt"
	"time"
)

// Access is the kind of access that a request needs: a write, or a read with a required freshness
// of the data.
type Access uint8

// The kinds of access, in ascending order of their demands.
const (
	ReadAny     Access = iota // a read that any member of the group may answer
	ReadBounded               // a read of data no older than Class.MaxStaleness at the time of the send
	ReadSession               // a read that must see all writes of its session
	ReadLatest                // a read that must see all writes committed before it arrived
	Write                     // a write, which only the primary executes
)

// Idempotency is the condition under which a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // servers within Class.DedupScope drop repeats for Class.DedupWindow
	NotIdempotent                      // must never be executed twice
)

// DedupScope is the set of servers that drop repeats of a request that is idempotent by its key.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupEverywhere DedupScope = iota // all servers
	DedupInZone                       // the servers in the zone of the first attempt
	DedupInGroup                      // the servers of the request's group
)

// Class describes one class of requests.
type Class struct {
	Name               string
	Access             Access
	MaxStaleness       time.Duration // ReadBounded: maximum age of the data at the time of the send
	Idempotency        Idempotency
	DedupScope         DedupScope    // IdempotentByKey: servers that drop repeats
	DedupWindow        time.Duration // IdempotentByKey: how long, from the first attempt that may have executed
	LatencyObjective   time.Duration // maximum latency that earns the full PriorityWeight; 0 for none
	TotalTimeout       time.Duration // time that a client waits in total, including its retries
	PriorityWeight     float64       // value of an answer, relative to those of the other classes
	LateWeightFraction float64       // share of PriorityWeight that a later answer earns, from 0 to 1
}

// StaleReadHandling is what a server does with a read that it is too far behind to answer.
type StaleReadHandling uint8

// The ways of handling such a read.
const (
	StaleReadAnswered StaleReadHandling = iota // answers with the stale data
	StaleReadRejected                          // ends the attempt as Misdirected at once
	StaleReadWaits                             // waits up to Settings.StaleReadWait, then rejects the read
)

// Settings is the configuration of a Router. A limit of 0 means no limit.
type Settings struct {
	Poolers     int // number of poolers in the fleet, including this one; 0 counts as 1
	PoolerIndex int // number of this pooler in the fleet, from 0
	Zone        int // zone that this pooler runs in
	Classes     []Class

	StaleReads          StaleReadHandling
	StaleReadWait       time.Duration // StaleReadWaits: maximum time that a server waits to catch up
	PositionEpoch       time.Duration // clock time that positions are counted from
	TrackSessions       bool          // whether the Router tracks the writes of sessions itself
	RolesReported       bool          // whether status reports of servers include the role
	ProbesAllowed       bool          // whether Actions.Probe may be called
	CancelAllowed       bool          // whether Actions.CancelAttempt may be called
	HedgingAllowed      bool          // whether an idempotent request may have more than one attempt in flight
	RetryAfterSupported bool          // whether Actions.Reject may ask a client to wait before it retries
	MaxAttempts         int           // maximum number of attempts of a request; 0 for no limit
	MaxRetryAfter       time.Duration // maximum time that Actions.Reject asks a client to wait

	PollList        bool          // whether Actions.WatchList polls the list; if not, changes are pushed
	MaxPollInterval time.Duration // PollList: maximum interval between two polls
	EventInterval   time.Duration // minimum interval between two events that the host reports
	IgnoreRemoval   bool          // whether a removed server stays in use if it was not listed as draining

	DrainGracePeriod  time.Duration // how long a draining or removed primary still accepts writes
	SlowStartCapacity float64       // share of its full capacity, from 0 to 1, that a server has at its start
	SlowStartDuration time.Duration // time from a server's start until it has its full capacity

	// A server in slow start fails if it is sent more than OverloadFactor times its current
	// capacity over OverloadInterval. If either is 0, there is no slow start.
	OverloadFactor   float64
	OverloadInterval time.Duration
}

// Validate returns an error that names the first setting that is out of range, or nil if there is
// none.
func (s *Settings) Validate() error {
	if err := s.validateCounts(); err != nil {
		return err
	}
	if err := s.validateDurations(); err != nil {
		return err
	}
	if !(s.SlowStartCapacity >= 0 && s.SlowStartCapacity <= 1) {
		return fmt.Errorf("policy: settings: SlowStartCapacity is %v, not within 0 and 1", s.SlowStartCapacity)
	}
	if !(s.OverloadFactor >= 0) {
		return fmt.Errorf("policy: settings: OverloadFactor is %v, below 0", s.OverloadFactor)
	}
	if s.StaleReads > StaleReadWaits {
		return fmt.Errorf("policy: settings: StaleReads is %d, which is unknown", s.StaleReads)
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(); err != nil {
			return fmt.Errorf("policy: settings: Classes[%d] %q: %w", i, s.Classes[i].Name, err)
		}
	}
	return nil
}

// validateCounts returns an error that names the first negative count.
func (s *Settings) validateCounts() error {
	return validateNotNegative([]namedSetting[int]{
		{"Poolers", s.Poolers},
		{"PoolerIndex", s.PoolerIndex},
		{"Zone", s.Zone},
		{"MaxAttempts", s.MaxAttempts},
	})
}

// validateDurations returns an error that names the first negative duration.
func (s *Settings) validateDurations() error {
	return validateNotNegative([]namedSetting[time.Duration]{
		{"StaleReadWait", s.StaleReadWait},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"MaxPollInterval", s.MaxPollInterval},
		{"EventInterval", s.EventInterval},
		{"DrainGracePeriod", s.DrainGracePeriod},
		{"SlowStartDuration", s.SlowStartDuration},
		{"OverloadInterval", s.OverloadInterval},
	})
}

// namedSetting is the value of a setting and the name of its field.
type namedSetting[T int | time.Duration] struct {
	name  string
	value T
}

// validateNotNegative returns an error that names the first negative setting.
func validateNotNegative[T int | time.Duration](settings []namedSetting[T]) error {
	for _, setting := range settings {
		if setting.value < 0 {
			return fmt.Errorf("policy: settings: %s is %v, below 0", setting.name, setting.value)
		}
	}
	return nil
}

// validate returns an error that names the first group of fields with a value out of range.
func (c *Class) validate() error {
	if c.Access > Write || c.Idempotency > NotIdempotent || c.DedupScope > DedupInGroup {
		return fmt.Errorf("Access %d, Idempotency %d or DedupScope %d is unknown",
			c.Access, c.Idempotency, c.DedupScope)
	}
	negative := c.MaxStaleness < 0 || c.DedupWindow < 0 || c.LatencyObjective < 0 || c.TotalTimeout < 0
	if negative || !(c.PriorityWeight >= 0) {
		return fmt.Errorf(
			"MaxStaleness %v, DedupWindow %v, LatencyObjective %v, TotalTimeout %v or PriorityWeight %v is below 0",
			c.MaxStaleness, c.DedupWindow, c.LatencyObjective, c.TotalTimeout, c.PriorityWeight)
	}
	return nil
}

// needsPrimary reports whether only the primary may execute requests of the class. Reads of the
// latest data need it too.
func (c *Class) needsPrimary() bool { return c.Access == Write || c.Access == ReadLatest }
