package policy

import (
	"fmt"
	"time"
)

// Access says what a request needs of the server that executes it: for a read how fresh the data
// must be, for a write the primary.
type Access uint8

// The kinds of access, from the least demanding one on.
const (
	ReadAny     Access = iota // a read that every member may answer
	ReadBounded               // a read of data no older than Class.MaxStaleness at the time of the send
	ReadSession               // a read that must see all writes of its session
	ReadLatest                // a read that must see all writes committed before it arrived
	Write                     // a write, which only the primary executes
)

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // servers drop repeats within Class.DedupScope for Class.DedupWindow
	NotIdempotent                      // must never be executed twice
)

// DedupScope is the set of servers that drop the repeats of a request that is idempotent by its
// key.
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
	MaxStaleness       time.Duration // ReadBounded: the greatest age of the data at the time of the send
	Idempotency        Idempotency
	DedupScope         DedupScope    // IdempotentByKey: where repeats are dropped
	DedupWindow        time.Duration // IdempotentByKey: how long, from the first such attempt on
	LatencyObjective   time.Duration // a request answered within this span earns its full PriorityWeight
	TotalTimeout       time.Duration // how long a client waits in all, over all its tries
	PriorityWeight     float64       // value of an answer, in any unit that the classes share
	LateWeightFraction float64       // share of PriorityWeight earned later, from 0 to 1
}

// StaleReadHandling says what a server does with a read that it is too far behind for.
type StaleReadHandling uint8

// The ways of handling a stale read.
const (
	StaleReadAnswered StaleReadHandling = iota // answers from the data that it has
	StaleReadRejected                          // ends the attempt as Misdirected at once
	StaleReadWaits                             // waits up to Settings.StaleReadWait, then as StaleReadRejected
)

// Settings is what a Router is configured with. A limit of zero means that there is none.
type Settings struct {
	Poolers     int // poolers in this tier, this one included; 0 counts as 1
	PoolerIndex int // this pooler's number among them, from 0
	Zone        int // the zone that this pooler runs in
	Classes     []Class

	StaleReads          StaleReadHandling
	StaleReadWait       time.Duration // StaleReadWaits: how long a server waits to catch up
	PositionEpoch       time.Duration // the clock time that positions count from
	TrackSessions       bool          // the Router remembers sessions' writes; else requests carry them
	RolesReported       bool          // status reports of servers carry the role
	ProbesAllowed       bool          // Actions.Probe may be used
	CancelAllowed       bool          // Actions.CancelAttempt may be used
	HedgingAllowed      bool          // one request may have two attempts in flight
	RetryAfterSupported bool          // a rejected client can be advised how long to stay away
	MaxAttempts         int           // attempts for one request; 0 for no limit
	MaxRetryAfter       time.Duration // the longest such time

	PollList        bool          // the endpoint list is polled by Actions.WatchList; else changes are pushed
	MaxPollInterval time.Duration // PollList: the longest span between two polls
	EventInterval   time.Duration // the shortest span between two events of the host
	IgnoreRemoval   bool          // a server removed from the list stays in use unless it was listed as draining

	DrainGracePeriod  time.Duration // how long a draining or removed primary still takes writes
	SlowStartCapacity float64       // share of its capacity, from 0 to 1, that a server has at its start
	SlowStartDuration time.Duration // span from a server's start until it has its full capacity
	OverloadFactor    float64       // a server in slow start fails under this multiple of its present capacity,
	OverloadInterval  time.Duration // sent to it over this span; with either at 0 there is no slow start
}

// Validate returns an error that names the first setting out of its range.
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

// validateCounts returns an error that names the first count below 0.
func (s *Settings) validateCounts() error {
	return validateNotNegative([]namedSetting[int]{
		{"Poolers", s.Poolers},
		{"PoolerIndex", s.PoolerIndex},
		{"Zone", s.Zone},
		{"MaxAttempts", s.MaxAttempts},
	})
}

// validateDurations returns an error that names the first duration below 0.
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

// namedSetting is a setting and the name of its field.
type namedSetting[T int | time.Duration] struct {
	name  string
	value T
}

func validateNotNegative[T int | time.Duration](settings []namedSetting[T]) error {
	for _, setting := range settings {
		if setting.value < 0 {
			return fmt.Errorf("policy: settings: %s is %v, below 0", setting.name, setting.value)
		}
	}
	return nil
}

// validate returns an error that names the first group of fields with a value out of its range.
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

// needsPrimary reports whether only the primary may execute requests of the class.
func (c *Class) needsPrimary() bool { return c.Access == Write || c.Access == ReadLatest }
