package shardmap

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/fleet/replication"
)

// checksPerTerm is how often the coordinator looks at unfinished moves in a term. Requests and changes of documents wake it at once.
const checksPerTerm = 20

// coordinate coordinates the moves whenever this pooler leads.
func (s *session) coordinate(ctx context.Context) {
	if s.runtime.Leadership == nil {
		return
	}
	for ctx.Err() == nil {
		changed := s.runtime.Leadership.Changed()
		if token, _, leads := s.runtime.Leadership.Token(); leads {
			s.runTerm(ctx, token)
		}
		timer := time.NewTimer(s.options.Term / requestsPerTerm) // a term that ended for want of an answer may go on
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// runTerm serves one term of leadership. Its acts are given up at its end.
func (s *session) runTerm(ctx context.Context, token uint64) {
	ctx, cancel := context.WithCancel(ctx)
	s.serveTerm(ctx, token)
	cancel()
	s.coordinator.EndTerm()
}

// serveTerm takes moves on by a token, until the token is lost or the voters do not answer.
func (s *session) serveTerm(ctx context.Context, token uint64) {
	if !s.beginTerm(ctx, token) {
		return
	}
	s.runtime.Log.Info().Uint64("token", token).Msg("shardmap: this pooler coordinates moves")
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		leadershipChanged := s.runtime.Leadership.Changed()
		if current, _, leads := s.runtime.Leadership.Token(); !leads || current != token {
			return
		}
		stepped, err := s.advanceMoves(ctx, token)
		if err != nil {
			s.runtime.Log.Warn().Err(err).Uint64("token", token).Msg("shardmap: step is not written")
			if errors.Is(err, replication.ErrFenced) || !s.beginTerm(ctx, token) {
				return
			}
		}
		if !stepped && err == nil {
			s.waitForWork(ctx, changed, leadershipChanged)
		}
	}
}

// waitForWork waits until there may be a step to take.
func (s *session) waitForWork(ctx context.Context, changed, leadershipChanged <-chan struct{}) {
	var check <-chan time.Time
	if document, _ := s.coordinator.Document(); document.hasUnfinishedMove() {
		timer := time.NewTimer(s.options.Term / checksPerTerm)
		defer timer.Stop()
		check = timer.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-leadershipChanged:
	case <-s.coordinatorWake:
	case <-check:
	}
}

// beginTerm reads the document from the voters, and writes the first map, or this coordinator's name, into it where that is wanted. What
// has become of a write whose answer was lost is learned in the same way.
func (s *session) beginTerm(ctx context.Context, token uint64) bool {
	stored, err := s.read(ctx, MapKey)
	var document Document
	if err == nil {
		document, err = parseDocument(stored.Value)
	}
	if err != nil {
		s.runtime.Log.Warn().Err(err).Msg("shardmap: map can't be read from the voters")
		return false
	}
	s.coordinator.BeginTerm(token, document, stored.Version)
	switch {
	case document.Epoch == 0 && len(s.options.Ranges) > 0:
		err = s.writeDocument(ctx, token, Document{Epoch: max(s.options.Epoch, 1), Ranges: s.options.Ranges})
	case document.hasUnfinishedMove() && document.Holder != s.options.Name:
		err = s.writeDocument(ctx, token, document)
	}
	return err == nil
}

// writeDocument writes a step. The write is accepted only while this coordinator's token is valid and nothing else has been written since
// the document was read.
func (s *session) writeDocument(ctx context.Context, token uint64, d Document) error {
	_, version := s.coordinator.Document()
	d.Holder = s.options.Name
	version, err := s.put(ctx, MapKey, version, d.encode(), replication.Fence{Lease: LeaseName, Token: token})
	if err == nil {
		s.coordinator.DocumentWritten(d, version)
	}
	return err
}

// advanceMoves takes each move as far as it goes now. It reports whether a step was written: there may be more then.
func (s *session) advanceMoves(ctx context.Context, token uint64) (stepped bool, err error) {
	if stepped, err = s.carryOutOrders(ctx, token); stepped || err != nil {
		return stepped, err
	}
	enrollment := s.enrollment()
	document, _ := s.coordinator.Document()
	for _, m := range document.Moves {
		step, ok := s.coordinator.NextStep(m.Name, enrollment, s.progressOf(m).lastAct)
		switch {
		case !ok:
			s.logWaiting(m, enrollment)
		case step.Next == nil:
			s.startAct(ctx, step)
		default:
			if err := s.writeDocument(ctx, token, *step.Next); err != nil {
				return false, err
			}
			s.logStep(m.Name, *step.Next)
			return true, nil
		}
	}
	return false, nil
}

// enrollment returns which processes may write, by the replica.
func (s *session) enrollment() Enrollment {
	e := Enrollment{Version: s.runtime.View.Version(), Instances: map[string]string{}}
	for _, stored := range s.runtime.View.List(RouterPrefix) {
		e.Instances[strings.TrimPrefix(stored.Key, RouterPrefix)] = string(stored.Value)
	}
	return e
}

// logWaiting logs, once, which processes a move waits for.
func (s *session) logWaiting(m Move, e Enrollment) {
	if m.State != Prepared && m.State != Fenced {
		return
	}
	waitsFor := s.coordinator.WaitingFor(m.Name, e)
	if len(waitsFor) == 0 {
		return
	}
	s.logOnce(fmt.Sprint(m.SinceEpoch, waitsFor), func() {
		s.runtime.Log.Info().Str("move", m.Name).Str("state", string(m.State)).Strs("waits_for", waitsFor).Msg("shardmap: move waits for poolers")
	})
}

// logStep logs a move's new state; at the switch with the map, which the operators' file must have should the voters' directories be lost.
func (s *session) logStep(name string, d Document) {
	m, _ := d.Move(name)
	line := s.runtime.Log.Info().Str("move", m.Name).Str("state", string(m.State)).Uint64("epoch", m.SinceEpoch).Str("why", m.Reason)
	if m.State == Switched {
		line = line.Interface("ranges", d.Ranges)
	}
	line.Msg("shardmap: move has advanced")
}
