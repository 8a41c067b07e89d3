package config

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"threadsail/internal/jsonfile"
)

// SettingsFile is the form of the object "settings". Unknown keys are skipped. Files begin each key with a small letter, and are read without
// regard to case; the tags begin with a capital because Digest is of the text that they give.
type SettingsFile struct {
	Balancers  int                 `json:"Balancers"`
	Me         int                 `json:"Me"`
	Zone       int                 `json:"Zone"`
	Discovery  string              `json:"Discovery"`
	TickMs     float64             `json:"TickMs"`
	Caps       CapabilitySettings  `json:"Caps"`
	Contract   PolicyFigures       `json:"Contract"`
	FamilyInfo ReplicationSettings `json:"FamilyInfo"`
	Lanes      []ClassSettings     `json:"Lanes"`
	Zones      []string            `json:"Zones"`
	Clients    struct {
		MarksRetry bool `json:"MarksRetry"`
	} `json:"Clients"`
	Report struct {
		Fields []string `json:"Fields"`
		How    string   `json:"How"`
	} `json:"Report"`
}

// CapabilitySettings is what the site allows.
type CapabilitySettings struct {
	ConnIdleMs       float64 `json:"ConnIdleMs"`
	ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
	MaxOpen          int     `json:"MaxOpen"`
	MaxAttempts      int     `json:"MaxAttempts"`
	MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
	MayCancel        bool    `json:"MayCancel"`
	MayTell          bool    `json:"MayTell"`
	Probing          bool    `json:"Probing"`
	RetryAfter       bool    `json:"RetryAfter"`
	SecondCopies     bool    `json:"SecondCopies"`
}

// PolicyFigures has the figures of the rules.
type PolicyFigures struct {
	AnswerSlackMs     float64 `json:"AnswerSlackMs"`
	MustAskInMs       float64 `json:"MustAskInMs"`
	ColdFrom          float64 `json:"ColdFrom"`
	ColdMs            float64 `json:"ColdMs"`
	DrainGraceMs      float64 `json:"DrainGraceMs"`
	OverloadFactor    float64 `json:"OverloadFactor"`
	OverloadForMs     float64 `json:"OverloadForMs"`
	OnlyDrainingBinds bool    `json:"OnlyDrainingBinds"`
}

// ReplicationSettings describes replicated groups.
type ReplicationSettings struct {
	BaseTimeMs   float64   `json:"BaseTimeMs"`
	Behind       string    `json:"Behind"`
	ClassRead    []string  `json:"ClassRead"`
	LagAllowedMs []float64 `json:"LagAllowedMs"`
	ShowsRole    string    `json:"ShowsRole"`
	Tokens       string    `json:"Tokens"`
	WaitMs       float64   `json:"WaitMs"`
}

// ClassSettings is a class of requests.
type ClassSettings struct {
	Name        string  `json:"Name"`
	Semantics   string  `json:"Semantics"`
	Group       string  `json:"Group"`
	AimMs       float64 `json:"AimMs"`
	HardLimitMs float64 `json:"HardLimitMs"`
	LateWorth   float64 `json:"LateWorth"`
	Worth       float64 `json:"Worth"`
	WindowMs    float64 `json:"WindowMs"`
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
	f.Me, f.Zone = 0, 0
	text, err := json.Marshal(f)
	if err != nil {
		panic(err) // they were read from JSON
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}
