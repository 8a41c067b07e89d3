package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Facts is the text that an instance is born with. Unknown keys are skipped.
type Facts struct {
	Balancers  int
	Me         int
	Zone       int
	Discovery  string
	TickMs     float64
	Caps       Caps
	Contract   Contract
	FamilyInfo FamilyInfo
	Lanes      []Lane
	Zones      []string
	Clients    struct {
		MarksRetry bool
	}
	Report struct {
		Fields []string
		How    string
	}
}

// Caps is what the site allows.
type Caps struct {
	ConnIdleMs       float64
	ConnectTimeoutMs float64
	MaxOpen          int
	MaxAttempts      int
	MaxRetryAfterMs  float64
	MayCancel        bool
	MayTell          bool
	Probing          bool
	RetryAfter       bool
	SecondCopies     bool
}

// Contract has the figures of the rules.
type Contract struct {
	AnswerSlackMs     float64
	MustAskInMs       float64
	ColdFrom          float64
	ColdMs            float64
	DrainGraceMs      float64
	OverloadFactor    float64
	OverloadForMs     float64
	OnlyDrainingBinds bool
}

// FamilyInfo describes replicated groups.
type FamilyInfo struct {
	BaseTimeMs   float64
	Behind       string
	ClassRead    []string
	LagAllowedMs []float64
	ShowsRole    string
	Tokens       string
	WaitMs       float64
}

// Lane is a class of requests.
type Lane struct {
	Name        string
	Semantics   string
	Group       string
	AimMs       float64
	HardLimitMs float64
	LateWorth   float64
	Worth       float64
	WindowMs    float64
}

// ParseFacts reads the settings text.
func ParseFacts(text []byte) (*Facts, error) {
	f := &Facts{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("unreadable settings: %w", jsonError(err))
	}
	return f, nil
}

// digest is the same for the same facts about the fleet, wherever in it they are told.
func (f Facts) digest() string {
	f.Me, f.Zone = 0, 0
	text, err := json.Marshal(f)
	if err != nil {
		panic(err) // they were read from JSON
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// misfit is a value of the wrong type.
type misfit struct{ *json.UnmarshalTypeError }

func (m misfit) Error() string {
	keys := strings.Split(m.Field, ".")
	for i, name := range keys {
		keys[i] = keyOf(name)
	}
	return fmt.Sprintf("%s: a %s does not fit", strings.Join(keys, "."), m.Value)
}

// keyOf is the key of a field that has no tag.
func keyOf(field string) string { return strings.ToLower(field[:1]) + field[1:] }

func (m misfit) Unwrap() error { return m.UnmarshalTypeError }

// jsonError names the key at fault where the decoder knows it.
func jsonError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) && t.Field != "" {
		return misfit{t}
	}
	return err
}
