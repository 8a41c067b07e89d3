package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"threadsail/internal/jsonfile"
	"threadsail/internal/lab/faults"
)

// The values of a step's "poolers" that name whichever pooler has a role when the step comes.
const (
	leaderValue    = "holder" // the discovery leader
	allocatorValue = "dealer" // the allocator of the fleet's limits
)

type stepForm struct {
	AtMs     float64 `json:"at_ms"`
	Act      string  `json:"act"`
	Poolers  string  `json:"poolers"`
	Servers  string  `json:"servers"`
	ForMs    float64 `json:"for_ms"`
	DelayMs  float64 `json:"delay_ms"`
	JitterMs float64 `json:"jitter_ms"`
}

// plan reads the steps, which stand in the file's text. Errors are *jsonfile.OffsetError at their step.
func (s *Scenario) plan(text []byte, raw []json.RawMessage, picks *picker) (*faults.Plan, error) {
	offsets := stepOffsets(text)
	offsets = append(offsets, make([]int64, max(0, len(raw)-len(offsets)))...)
	steps := make([]faults.Step, 0, len(raw))
	for i, one := range raw {
		step, err := s.step(fmt.Sprintf("steps[%d]", i), one, picks)
		if err != nil {
			return nil, jsonfile.At(offsets[i], err)
		}
		steps = append(steps, step)
	}
	plan, err := faults.New(steps, s.Poolers, s.Servers)
	if err != nil {
		return nil, jsonfile.At(offsetOfStep(err, offsets), err)
	}
	return plan, nil
}

// offsetOfStep is where the step stands that an error of the plan names by its index.
func offsetOfStep(err error, offsets []int64) int64 {
	var i int
	if _, _ = fmt.Sscanf(err.Error(), "steps[%d]", &i); i < 0 || i >= len(offsets) {
		i = 0
	}
	return offsets[i]
}

// step reads the step at a key such as "steps[0]", with which an error's text begins.
func (s *Scenario) step(key string, raw json.RawMessage, picks *picker) (faults.Step, error) {
	var form stepForm
	if err := jsonfile.DecodeValue(raw, &form); err != nil {
		return faults.Step{}, fmt.Errorf("%s: %w", key, err)
	}
	step := faults.Step{
		At:     milliseconds(form.AtMs),
		Act:    faults.Act(form.Act),
		Holder: form.Poolers == leaderValue,
		Dealer: form.Poolers == allocatorValue,
		For:    milliseconds(form.ForMs),
		Delay:  milliseconds(form.DelayMs),
		Jitter: milliseconds(form.JitterMs),
	}
	var err error
	if !step.Holder && !step.Dealer {
		step.Poolers, err = picks.pickPoolers(form.Poolers)
	}
	if err != nil {
		return step, fmt.Errorf("%s.poolers: %w", key, err)
	}
	if err := s.checkStep(key, step); err != nil {
		return step, err
	}
	if step.Servers, err = picks.pickServers(form.Servers); err != nil {
		return step, fmt.Errorf("%s.servers: %w", key, err)
	}
	if step.At > s.Length {
		return step, fmt.Errorf("%s.at_ms: after the end of the run", key)
	}
	return step, nil
}

// checkStep checks that the scenario has what the step at a key acts on.
func (s *Scenario) checkStep(key string, step faults.Step) error {
	isVoter := func(pooler int) bool { return pooler < s.Fleet.Voters }
	switch act := step.Act; {
	case step.Holder && s.Fleet.Voters == 0:
		return fmt.Errorf("%s.poolers: holder: the poolers have no stewards", key)
	case step.Dealer && (s.Fleet.Voters == 0 || len(s.Fleet.Limits.List) == 0):
		return fmt.Errorf("%s.poolers: dealer: the poolers have no limits", key)
	case act == faults.Wipe && slices.ContainsFunc(step.Poolers, isVoter):
		return fmt.Errorf("%s.poolers: wipe: the first %d are stewards, which must not forget what they have said", key, s.Fleet.Voters)
	case act.OnPurges() && s.Fleet.Purges.Sites == 0:
		return fmt.Errorf("%s.act: %s needs fleet.purges", key, act)
	case act == faults.Reshard && s.Fleet.Shards.Keys == 0:
		return fmt.Errorf("%s.act: %s needs fleet.shards", key, act)
	case act.OnPeers() && !s.Fleet.Relays:
		return fmt.Errorf("%s.act: %s needs fleet.relays", key, act)
	case act.OnLinks() && s.Direct:
		return fmt.Errorf("%s.act: %s needs relays, and direct is true", key, act)
	}
	return nil
}

// stepOffsets finds where each element of the top object's "steps" begins, in a text that is known to be JSON.
func stepOffsets(text []byte) (offsets []int64) {
	dec := json.NewDecoder(bytes.NewReader(text))
	if open, _ := dec.Token(); open != json.Delim('{') {
		return nil
	}
	var skipped json.RawMessage
	for dec.More() {
		if key, _ := dec.Token(); key != "steps" {
			_ = dec.Decode(&skipped)
			continue
		}
		if open, _ := dec.Token(); open != json.Delim('[') {
			return nil
		}
		for dec.More() {
			offsets = append(offsets, behindSpace(text, dec.InputOffset()))
			_ = dec.Decode(&skipped)
		}
		return offsets
	}
	return nil
}

// behindSpace is the first offset from a given one on that is behind spaces and commas: a decoder's offset is before those of the
// element that comes next.
func behindSpace(text []byte, offset int64) int64 {
	for offset < int64(len(text)) && bytes.IndexByte([]byte(" \t\r\n,"), text[offset]) >= 0 {
		offset++
	}
	return offset
}
