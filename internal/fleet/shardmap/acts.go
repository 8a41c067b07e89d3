package shardmap

import (
	"context"
	"time"
)

// progress records which acts of a move's current state have been executed.
type progress struct {
	stateEpoch uint64    // Move.SinceEpoch of the state
	lastAct    Act       // the last act that succeeded
	running    bool      // whether an act is being executed
	retryAt    time.Time // after a failure: the earliest time of the next attempt
}

// progressOf returns the progress of a move in its current state.
func (c *Component) progressOf(m Move) progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.actProgress[m.Name]; p.stateEpoch == m.SinceEpoch {
		return p
	}
	return progress{stateEpoch: m.SinceEpoch}
}

// setProgress records the progress of a move and wakes the coordinator.
func (c *Component) setProgress(move string, p progress) {
	c.mu.Lock()
	c.actProgress[move] = p
	c.mu.Unlock()
	notify(c.coordinatorWake)
}

// startAct starts the act of a step on a new goroutine, because an act may take long. It does nothing if an act of the move is being
// executed already, or if the retry delay after a failure has not passed.
func (s *session) startAct(ctx context.Context, step Step) {
	before := s.progressOf(step.Move)
	if before.running || time.Now().Before(before.retryAt) {
		return
	}
	before.running = true
	s.setProgress(step.Move.Name, before)
	instruction := s.coordinator.Instruct(step)
	go s.doAct(ctx, instruction, before.lastAct) // ends with the act, which is canceled when the term of leadership ends
}

// doAct has the Copier execute an instruction and records the result. lastAct is the act that succeeded before it.
func (s *session) doAct(ctx context.Context, instruction Instruction, lastAct Act) {
	after := progress{stateEpoch: instruction.Move.SinceEpoch, lastAct: instruction.Act}
	if err := s.options.Copier.Do(ctx, instruction); err != nil {
		s.runtime.Log.Warn().Err(err).Str("move", instruction.Move.Name).Str("act", string(instruction.Act)).Msg("shardmap: act failed, will be retried")
		after.lastAct = lastAct
		after.retryAt = time.Now().Add(s.options.Term / requestsPerTerm)
	}
	s.setProgress(instruction.Move.Name, after)
}
