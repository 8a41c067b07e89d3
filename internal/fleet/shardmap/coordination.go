package shardmap

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/fleet/replication"
)

// checksPerTerm is the number of times per term that the coordinator checks unfinished moves. Requests and changes of documents wake it
// earlier.
const checksPerTerm = 20

// coordinate coordinates the moves whenever this pooler is the leader, until ctx ends. It returns at once if the pooler does not campaign.
func (s *session) coordinate(ctx context.Context) {
	if s.runtime.Leadership == nil {
		return
	}
	for ctx.Err() == nil {
		changed := s.runtime.Leadership.Changed()
		if token, _, leads := s.runtime.Leadership.Token(); leads {
			s.runTerm(ctx, token)
		}
		timer := time.NewTimer(s.options.Term / requestsPerTerm) // retries if the voters did not answer while this pooler is still the leader
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// runTerm serves one term of leadership. It cancels the acts that are still being executed at its end.
func (s *session) runTerm(ctx context.Context, token uint64) {
	ctx, cancel := context.WithCancel(ctx)
	s.serveTerm(ctx, token)
	cancel()
	s.coordinator.EndTerm()
}

// serveTerm advances moves under a fencing token until the token is lost, the voters do not answer or ctx ends.
func (s *session) serveTerm(ctx context.Context, token uint64) {
	if !s.beginTerm(ctx, token) {
		return
	}
	s.runtime.Log.Info().Uint64("token", token).Msg("shardmap: pooler became the coordinator of moves")
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		leadershipChanged := s.runtime.Leadership.Changed()
		if current, _, leads := s.runtime.Leadership.Token(); !leads || current != token {
			return
		}
		stepped, err := s.advanceMoves(ctx, token)
		if err != nil {
			s.runtime.Log.Warn().Err(err).Uint64("token", token).Msg("shardmap: writing the map failed")
			if errors.Is(err, replication.ErrFenced) || !s.beginTerm(ctx, token) {
				return
			}
		}
		if !stepped && err == nil {
			s.waitForWork(ctx, changed, leadershipChanged)
		}
	}
}

// waitForWork blocks until a move may have a step to take or ctx ends.
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

// beginTerm reads the map from the voters and begins a term with it. If the voters have no map, it writes the operators' first map; if
// there is an unfinished move and another pooler is recorded as the coordinator, it records this one. beginTerm is also called after a
// failed write, to find out whether the write took effect. It reports whether all reads and writes succeeded.
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

// writeDocument writes the document after a step. The voters accept it only while this coordinator's token is valid and if the document
// has not been written since this coordinator read it.
func (s *session) writeDocument(ctx context.Context, token uint64, d Document) error {
	_, version := s.coordinator.Document()
	d.Holder = s.options.Name
	version, err := s.put(ctx, MapKey, version, d.encode(), replication.Fence{Lease: LeaseName, Token: token})
	if err == nil {
		s.coordinator.DocumentWritten(d, version)
	}
	return err
}

// advanceMoves applies the orders and starts the acts of moves, up to the first step that writes the document. stepped reports whether a
// step was written; the caller then calls advanceMoves again, as there may be more steps.
func (s *session) advanceMoves(ctx context.Context, token uint64) (stepped bool, err error) {
	if stepped, err = s.applyOrders(ctx, token); stepped || err != nil {
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

// enrollment returns the processes that are enrolled according to the replica.
func (s *session) enrollment() Enrollment {
	enrolled := Enrollment{Version: s.runtime.View.Version(), Instances: map[string]string{}}
	for _, stored := range s.runtime.View.List(RouterPrefix) {
		enrolled.Instances[strings.TrimPrefix(stored.Key, RouterPrefix)] = string(stored.Value)
	}
	return enrolled
}

// logWaiting logs, once for each state of a move and set of processes, that the move waits for the processes' acknowledgements.
func (s *session) logWaiting(m Move, enrollment Enrollment) {
	if m.State != Prepared && m.State != Fenced {
		return
	}
	waitsFor := s.coordinator.WaitingFor(m.Name, enrollment)
	if len(waitsFor) == 0 {
		return
	}
	s.logOnce(fmt.Sprint(m.SinceEpoch, waitsFor), func() {
		s.runtime.Log.Info().Str("move", m.Name).Str("state", string(m.State)).Strs("waits_for", waitsFor).Msg("shardmap: move waits for acknowledgements")
	})
}

// logStep logs the new state of a move. At the switch it also logs the map, which the operators must copy to their file if the voters lose
// their data.
func (s *session) logStep(name string, d Document) {
	m, _ := d.Move(name)
	line := s.runtime.Log.Info().Str("move", m.Name).Str("state", string(m.State)).Uint64("epoch", m.SinceEpoch).Str("why", m.Reason)
	if m.State == Switched {
		line = line.Interface("ranges", d.Ranges)
	}
	line.Msg("shardmap: move entered a new state")
}
