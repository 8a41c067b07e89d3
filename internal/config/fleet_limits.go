package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"threadsail/internal/jsonfile"
)

// What a limit can be on.
const (
	LimitRequests    = "requests"    // taken in from clients
	LimitConnections = "connections" // new ones, with their handshakes, at each server by itself
	LimitCold        = "cold"        // attempts sent to each server by itself while it warms, at full warmth
	LimitProbes      = "probes"      // at each server by itself
)

const (
	maxLimits      = 64
	maxLimitName   = 64 // bytes
	minRate        = 0.01
	maxRate        = 1e7
	defaultReserve = 0.25
	minReserve     = 0.05
	maxReserve     = 0.95
)

// Limit holds for all poolers of a fleet together.
type Limit struct {
	Name   string `json:"name"`
	Target string `json:"on"`
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

// OnTarget is the set's first limit on something.
func (l Limits) OnTarget(what string) (Limit, bool) {
	i := slices.IndexFunc(l.List, func(l Limit) bool { return l.Target == what })
	if i < 0 {
		return Limit{}, false
	}
	return l.List[i], true
}

// ParseLimits reads a set as the fleet passes it on: checked as the operators' file is.
func ParseLimits(text []byte) (Limits, error) { return parseLimits(text) }

// limitSetForm is the form of a set; each limit is decoded by itself, so that an error can name it.
type limitSetForm struct {
	Revision uint64            `json:"revision"`
	List     []json.RawMessage `json:"list"`
}

// parseLimits is ParseLimits. Errors are *jsonfile.Mistake at an offset of the text.
func parseLimits(text []byte) (Limits, error) {
	if len(text) == 0 {
		return Limits{}, nil
	}
	var file limitSetForm
	if err := jsonfile.DecodeValue(text, &file); err != nil {
		return Limits{}, withKey(err, 0, "limits")
	}
	out := Limits{Revision: file.Revision}
	at := int64(0) // behind the limits that were read
	for i, raw := range file.List {
		at += int64(max(bytes.Index(text[at:], raw), 0))
		limit, err := parseLimit(raw)
		if err != nil {
			return Limits{}, withKey(err, at, fmt.Sprintf("limits.list[%d]", i))
		}
		out.List = append(out.List, limit)
		if key, err := checkLimit(out.List, i); err != nil {
			return Limits{}, jsonfile.At(at+max(jsonfile.FindKey(raw, key), 0), fmt.Errorf("limits.list[%d].%s: %w", i, key, err))
		}
		at += int64(len(raw))
	}
	switch {
	case len(out.List) > maxLimits:
		return Limits{}, jsonfile.At(at, fmt.Errorf("limits.list: %d are more than %d", len(out.List), maxLimits))
	case len(out.List) > 0 && out.Revision == 0:
		return Limits{}, jsonfile.At(0, errNoLimitsRevision)
	}
	return out, nil
}

var errNoLimitsRevision = errors.New("limits.revision: 0; the fleet tells sets apart by it, so it must grow with every change")

func parseLimit(text []byte) (Limit, error) {
	l := Limit{Reserve: defaultReserve}
	return l, jsonfile.DecodeValue(text, &l)
}

// withKey puts a key before a mistake's text, and moves it by the offset of the value that it is in.
func withKey(err error, offset int64, key string) error {
	var mistake *jsonfile.OffsetError
	if errors.As(err, &mistake) {
		offset += mistake.Offset
		err = mistake.Err
	}
	return jsonfile.At(offset, fmt.Errorf("%s: %w", key, err))
}

// placeInside moves a mistake of a value by where the value stands in the file's text.
func placeInside(text, value []byte, err error) error {
	var mistake *jsonfile.OffsetError
	if errors.As(err, &mistake) {
		return jsonfile.At(int64(bytes.Index(text, value))+mistake.Offset, mistake.Err)
	}
	return err
}

// checkLimit tells which key of the list's i-th limit can't be used.
func checkLimit(list []Limit, i int) (key string, err error) {
	limit, before := list[i], list[:i]
	if err := limit.checkName(before); err != nil {
		return "name", err
	}
	if err := limit.checkTarget(before); err != nil {
		return "on", err
	}
	switch {
	case !(limit.Rate >= minRate && limit.Rate <= maxRate):
		return "rate", fmt.Errorf("%v is not from 0.01 to 1e7 a second", limit.Rate)
	case !(limit.Burst >= 0 && limit.Burst <= maxRate):
		return "burst", fmt.Errorf("%v is not from 0 to 1e7", limit.Burst)
	case !(limit.Reserve >= minReserve && limit.Reserve <= maxReserve):
		return "reserve", fmt.Errorf("%v is not from 0.05 to 0.95: one that is cut off must have some, and so must one with demand", limit.Reserve)
	}
	return "", nil
}

func (l Limit) checkName(before []Limit) error {
	if l.Name == "" || strings.ContainsAny(l.Name, "/ ") || len(l.Name) > maxLimitName {
		return fmt.Errorf("%q is empty, longer than %d bytes, or has a slash or space", l.Name, maxLimitName)
	}
	if slices.ContainsFunc(before, func(o Limit) bool { return o.Name == l.Name }) {
		return fmt.Errorf("%q names another too", l.Name)
	}
	return nil
}

func (l Limit) checkTarget(before []Limit) error {
	switch {
	case !slices.Contains([]string{LimitRequests, LimitConnections, LimitCold, LimitProbes}, l.Target):
		return fmt.Errorf("%q is none of requests, connections, cold, probes", l.Target)
	case l.Target == LimitRequests:
		return nil
	case l.Class != "" || l.Tenants:
		return fmt.Errorf("%s has no class or tenants: it is on each server", l.Target)
	case slices.ContainsFunc(before, func(o Limit) bool { return o.Target == l.Target }):
		return fmt.Errorf("%s has a limit already", l.Target)
	}
	return nil
}
