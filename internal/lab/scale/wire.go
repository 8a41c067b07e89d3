package scale

import (
	"time"

	"threadsail/internal/fleet/traffic"
)

// ask is what the laboratory has a process of hollow poolers do, one JSON object; answer comes back, one for each ask in turn.
type ask struct {
	Do      string        `json:"do"`                // one of those below
	Poolers []hollow      `json:"poolers,omitempty"` // of doStart and doRestart
	Config  string        `json:"config,omitempty"`  // of doStart: the file that PROXY_CONFIG names
	Members int           `json:"members,omitempty"` // of doKnow
	Over    time.Duration `json:"over_ns,omitempty"` // of doStart: they start one by one over so long
}

const (
	doStart   = "start"
	doRestart = "restart" // ends poolers as operators do, and starts them again
	doSample  = "sample"
	doKnow    = "know" // who knows so many members
	doSeen    = "seen" // which changes have come into force since the last such ask
)

// hollow is where a hollow pooler's part of the fleet stands written.
type hollow struct {
	Name  string `json:"name"`
	Seed  uint64 `json:"seed"`
	Fleet string `json:"fleet"` // the file that PROXY_FLEET names
}

type answer struct {
	Error   string                     `json:"error,omitempty"`
	At      time.Time                  `json:"at"`
	Process process                    `json:"process"`           // of doSample
	Traffic map[string][]traffic.Count `json:"traffic,omitempty"` // of doSample, by pooler
	Known   int                        `json:"known"`             // of doKnow: how many members its poolers know, summed
	Knowing []string                   `json:"knowing,omitempty"` // of doKnow: who knows as many as asked
	Seen    []sight                    `json:"seen,omitempty"`    // of doSeen
}

// sight is that a change came into force at a pooler.
type sight struct {
	Pooler string `json:"pooler"`
	Change int    `json:"change"`
	At     int64  `json:"at_ns"` // Unix time
}

// change is what the laboratory writes through the stewards.
type change struct {
	Number int    `json:"number"`
	Fill   string `json:"fill"`
}

// changeKey is the document that the laboratory changes.
const changeKey = "scale/change"

// process is what a process has taken so far and holds now.
type process struct {
	CPU         time.Duration `json:"cpu_ns"`
	RSS         int64         `json:"rss"` // bytes
	Heap        int64         `json:"heap"`
	Descriptors int           `json:"descriptors"`
	Goroutines  int           `json:"goroutines"`
}
