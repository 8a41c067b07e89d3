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

// LimitTarget is what a limit bounds.
type LimitTarget string

// The targets of limits.
const (
	LimitRequests    LimitTarget = "requests"    // accepted from clients
	LimitConnections LimitTarget = "connections" // new ones, with their handshakes, at each server by itself
	LimitCold        LimitTarget = "cold"        // attempts sent to each server by itself during its slow start, at full capacity
	LimitProbes      LimitTarget = "probes"      // at each server by itself
)

var limitTargets = []LimitTarget{LimitRequests, LimitConnections, LimitCold, LimitProbes}

// Bounds of limits, and a default.
const (
	maxLimits      = 64
	maxLimitName   = 64 // bytes
	minRate        = 0.01
	maxRate        = 1e7
	defaultReserve = 0.25
	minReserve     = 0.05
	maxReserve     = 0.95
)

// Limit bounds what all poolers of a fleet do together.
type Limit struct {
	Name    string      `json:"name"`
	Target  LimitTarget `json:"on"`
	Class   string      `json:"class,omitempty"`   // LimitRequests: the one class that is bounded; empty: all classes together
	Tenants bool        `json:"tenants,omitempty"` // LimitRequests: each tenant has the limit for itself
	Rate    float64     `json:"rate"`              // a second
	Burst   float64     `json:"burst"`             // that may come at once, above the rate
	Reserve float64     `json:"reserve"`           // share of Rate that is set aside, in equal parts, for poolers without a quota
}

// Limits is the set of a fleet's limits. Of two sets the one with the higher revision holds.
type Limits struct {
	Revision uint64  `json:"revision"`
	List     []Limit `json:"list"`
}

// OnTarget returns the set's first limit on a target.
func (l Limits) OnTarget(target LimitTarget) (Limit, bool) {
	i := slices.IndexFunc(l.List, func(l Limit) bool { return l.Target == target })
	if i < 0 {
		return Limit{}, false
	}
	return l.List[i], true
}

// limitSetForm is the form of a set; each limit is decoded by itself, so that an error can name it.
type limitSetForm struct {
	Revision uint64            `json:"revision"`
	List     []json.RawMessage `json:"list"`
}

// ParseLimits reads a set of limits, of the operators' file or of another pooler. Errors are *jsonfile.OffsetError.
func ParseLimits(text []byte) (Limits, error) {
	if len(text) == 0 {
		return Limits{}, nil
	}
	var file limitSetForm
	if err := jsonfile.DecodeValue(text, &file); err != nil {
		return Limits{}, withKey(err, 0, "limits")
	}
	out := Limits{Revision: file.Revision}
	offset := int64(0) // behind the limits that were read
	for i, raw := range file.List {
		offset += int64(max(bytes.Index(text[offset:], raw), 0))
		limit, err := parseLimit(raw)
		if err != nil {
			return Limits{}, withKey(err, offset, fmt.Sprintf("limits.list[%d]", i))
		}
		out.List = append(out.List, limit)
		if key, err := checkLimit(out.List, i); err != nil {
			err = fmt.Errorf("limits.list[%d].%s: %w", i, key, err)
			return Limits{}, jsonfile.At(offset+max(jsonfile.FindKey(raw, key), 0), err)
		}
		offset += int64(len(raw))
	}
	switch {
	case len(out.List) > maxLimits:
		return Limits{}, jsonfile.At(offset, fmt.Errorf("limits.list: %d are more than %d", len(out.List), maxLimits))
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

// withKey puts a key before an error's text, and moves the error by the offset of the key's value.
func withKey(err error, offset int64, key string) error {
	var at *jsonfile.OffsetError
	if errors.As(err, &at) {
		offset += at.Offset
		err = at.Err
	}
	return jsonfile.At(offset, fmt.Errorf("%s: %w", key, err))
}

// placeInside moves an error about a value by the value's offset in the file's text.
func placeInside(text, value []byte, err error) error {
	var at *jsonfile.OffsetError
	if errors.As(err, &at) {
		return jsonfile.At(int64(bytes.Index(text, value))+at.Offset, at.Err)
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
	case !slices.Contains(limitTargets, l.Target):
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
