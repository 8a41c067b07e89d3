package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// What a limit can be on.
const (
	LimitRequests    = "requests"    // taken in from clients
	LimitConnections = "connections" // new ones, with their handshakes, at each server by itself
	LimitCold        = "cold"        // attempts sent to each server by itself while it warms, at full warmth
	LimitProbes      = "probes"      // at each server by itself
)

const (
	mostLimits     = 64
	defaultReserve = 0.25
)

// Limit holds for all poolers of a fleet together.
type Limit struct {
	Name string `json:"name"`
	On   string `json:"on"`
	// Class is, of requests, the one class that it is on; empty: all, together.
	Class string `json:"class,omitempty"`
	// Tenants: of requests, each tenant has the limit to itself; else all have it together.
	Tenants bool `json:"tenants,omitempty"`
	// Rate is units a second, and Burst as many above it at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Reserve is the share of Rate that is set aside in equal parts for poolers that hold no slice.
	Reserve float64 `json:"reserve"`
}

// Limits is a whole set. Of two, the one with the higher revision holds.
type Limits struct {
	Revision uint64  `json:"revision"`
	List     []Limit `json:"list"`
}

// On is the set's first limit on something.
func (l Limits) On(what string) (Limit, bool) {
	i := slices.IndexFunc(l.List, func(l Limit) bool { return l.On == what })
	if i < 0 {
		return Limit{}, false
	}
	return l.List[i], true
}

// ParseLimits reads a set as the fleet passes it on: checked as the operators' file is.
func ParseLimits(text []byte) (Limits, error) {
	l, _, err := parseLimits(text)
	return l, err
}

// parseLimits returns the set, or an error with the offset in text of what it is about.
func parseLimits(text []byte) (Limits, int64, error) {
	var file struct {
		Revision uint64
		List     []json.RawMessage
	}
	if len(text) == 0 {
		return Limits{}, 0, nil
	}
	at, err := decodeStrict(text, &file)
	if err != nil {
		return Limits{}, at, fmt.Errorf("limits: %w", err)
	}
	out := Limits{Revision: file.Revision}
	at = 0
	for i, raw := range file.List {
		at += int64(max(bytes.Index(text[at:], raw), 0))
		l := Limit{Reserve: defaultReserve}
		off, err := decodeStrict(raw, &l)
		if err != nil {
			return Limits{}, at + off, fmt.Errorf("limits.list[%d]: %w", i, err)
		}
		out.List = append(out.List, l)
		if key, err := checkLimit(out.List, i); err != nil {
			return Limits{}, at + int64(max(bytes.Index(raw, []byte(`"`+key+`"`)), 0)), fmt.Errorf("limits.list[%d].%s: %w", i, key, err)
		}
		at += int64(len(raw))
	}
	switch {
	case len(out.List) > mostLimits:
		return Limits{}, at, fmt.Errorf("limits.list: %d are more than %d", len(out.List), mostLimits)
	case len(out.List) > 0 && out.Revision == 0:
		return Limits{}, 0, errors.New("limits.revision: 0; the fleet tells sets apart by it, so it must grow with every change")
	}
	return out, 0, nil
}

func decodeStrict(text []byte, v any) (int64, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return min(jsonOffset(err, dec.InputOffset()), int64(len(text))), jsonError(err)
	}
	return 0, nil
}

// checkLimit tells which key of the list's i-th limit can't be used.
func checkLimit(list []Limit, i int) (key string, err error) {
	l := list[i]
	switch {
	case l.Name == "" || bytes.ContainsAny([]byte(l.Name), "/ ") || len(l.Name) > 64:
		return "name", fmt.Errorf("%q is empty, longer than 64 bytes, or has a slash or space", l.Name)
	case slices.ContainsFunc(list[:i], func(o Limit) bool { return o.Name == l.Name }):
		return "name", fmt.Errorf("%q names another too", l.Name)
	case !slices.Contains([]string{LimitRequests, LimitConnections, LimitCold, LimitProbes}, l.On):
		return "on", fmt.Errorf("%q is none of requests, connections, cold, probes", l.On)
	case l.On != LimitRequests && cmp.Or(l.Class, fmt.Sprint(l.Tenants)) != "false":
		return "on", fmt.Errorf("%s has no class or tenants: it is on each server", l.On)
	case l.On != LimitRequests && slices.ContainsFunc(list[:i], func(o Limit) bool { return o.On == l.On }):
		return "on", fmt.Errorf("%s has a limit already", l.On)
	case !(l.Rate >= 0.01 && l.Rate <= 1e7):
		return "rate", fmt.Errorf("%v is not from 0.01 to 1e7 a second", l.Rate)
	case !(l.Burst >= 0 && l.Burst <= 1e7) || math.IsNaN(l.Burst):
		return "burst", fmt.Errorf("%v is not from 0 to 1e7", l.Burst)
	case !(l.Reserve >= 0.05 && l.Reserve <= 0.95):
		return "reserve", fmt.Errorf("%v is not from 0.05 to 0.95: one that is cut off must have some, and so must one with demand", l.Reserve)
	}
	return "", nil
}
