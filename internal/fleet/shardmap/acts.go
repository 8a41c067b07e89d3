package shardmap

import (
	"context"
	"time"
)

// progress is how far the acts of a move's state are.
type progress struct {
	stateEpoch uint64 // of the state
	lastAct    Act    // that has succeeded
	running    bool
	retryAt    time.Time // after a failure: not before
}

// progressOf returns the progress of a move's present state.
func (c *Component) progressOf(m Move) progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.actProgress[m.Name]; p.stateEpoch == m.SinceEpoch {
		return p
	}
	return progress{stateEpoch: m.SinceEpoch}
}

// setProgress sets a move's progress, and wakes the coordinator.
func (c *Component) setProgress(move string, p progress) {
	c.mu.Lock()
	c.actProgress[move] = p
	c.mu.Unlock()
	notify(c.coordinatorWake)
}

// startAct has an act done on a goroutine of its own, as it may take long: one at a time for each move, and again after a failure.
func (s *session) startAct(ctx context.Context, step Step) {
	before := s.progressOf(step.Move)
	if before.running || time.Now().Before(before.retryAt) {
		return
	}
	before.running = true
	s.setProgress(step.Move.Name, before)
	instruction := s.coordinator.Instruct(step)
	go s.doAct(ctx, instruction, before.lastAct) // ends with the act, which is given up when the coordinator's term ends
}

// doAct has an act done, and records how it went. lastAct is the act that had succeeded before.
func (s *session) doAct(ctx context.Context, i Instruction, lastAct Act) {
	after := progress{stateEpoch: i.Move.SinceEpoch, lastAct: i.Act}
	if err := s.options.Copier.Do(ctx, i); err != nil {
		s.runtime.Log.Warn().Err(err).Str("move", i.Move.Name).Str("act", string(i.Act)).Msg("shardmap: act has failed")
		after.lastAct = lastAct
		after.retryAt = time.Now().Add(s.options.Term / requestsPerTerm)
	}
	s.setProgress(i.Move.Name, after)
}
