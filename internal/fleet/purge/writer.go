package purge

import (
	"context"
	"math/rand/v2"
	"time"

	"threadsail/internal/fleet/replication"
)

// syncProposal keeps the documents in line with the proposal: it writes the missing plan and orders and deletes expired orders. It blocks
// until ctx ends.
func (s *session) syncProposal(ctx context.Context) {
	lastLogged := ""
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		write, retryAfter, err := s.pendingWrite()
		if err != nil && err.Error() != lastLogged {
			lastLogged = err.Error()
			s.runtime.Log.Error().Err(err).Msg("purge: plan in the configuration file not proposed")
		}
		if write != nil {
			s.campaignAndWrite(ctx)
			retryAfter = s.Term
		}
		if s.waitForChange(ctx, changed, retryAfter) {
			lastLogged = ""
		}
	}
}

// waitForChange blocks until the documents or the proposal have changed, retryAfter has passed (0: no limit), or ctx ends. It reports
// whether the proposal has changed.
func (s *session) waitForChange(ctx context.Context, documentsChanged <-chan struct{}, retryAfter time.Duration) (proposalChanged bool) {
	var due <-chan time.Time
	if retryAfter > 0 {
		timer := time.NewTimer(retryAfter)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-documentsChanged:
	case <-s.proposalChanged:
		return true
	}
	return false
}

// pendingWrite returns the next write by this pooler's replica of the documents, as Proposal.nextWrite. It returns no write, and an early
// retryAfter, until the replica has been confirmed once and the clock agrees with the others.
func (s *session) pendingWrite() (write *documentWrite, retryAfter time.Duration, err error) {
	proposal := s.currentProposal()
	if proposal.Revision == 0 && len(proposal.Orders) == 0 {
		return nil, 0, nil
	}
	now, ok := s.edge.ClockAgrees(s.bounds().Guard)
	if !ok || s.runtime.View.ConfirmedAt().IsZero() {
		return nil, initialComparisonInterval, nil
	}
	return proposal.nextWrite(s.runtime.View.List(keyPrefix), now)
}

// hasPendingWrite reports whether a write is due and can be made.
func (s *session) hasPendingWrite() bool {
	write, _, err := s.pendingWrite()
	return write != nil && err == nil
}

// campaignAndWrite campaigns for the writer's lease and then makes all pending writes. It starts after a random delay of up to a lease
// term: of many poolers that start with the same file, the first one writes, and the others find the documents written. A write with an
// unknown result is fenced by the lease, which is given up on failure, so the write is applied within Bounds.WriteLead or not at all.
func (s *session) campaignAndWrite(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx) // ends the campaign and gives up the lease
	defer cancel()
	sleep(ctx, rand.N(s.Term))
	if ctx.Err() != nil || !s.hasPendingWrite() {
		return
	}
	leadership := s.runtime.Campaign(ctx, writerLease)
	if !s.waitForLease(ctx, leadership) {
		return
	}
	for s.writeNext(ctx, leadership) {
	}
}

// waitForLease blocks until the lease is held and then returns true. It returns false if ctx ends or no write is pending any more.
func (s *session) waitForLease(ctx context.Context, leadership replication.Leadership) bool {
	for {
		leadershipChanged := leadership.Changed()
		documentsChanged := s.runtime.View.Changed()
		if _, _, held := leadership.Token(); held {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-leadershipChanged:
		case <-documentsChanged:
			if !s.hasPendingWrite() {
				return false
			}
		}
	}
}

// writeNext makes the next pending write, decided by the documents as read from the voters. It reports whether more writes may be pending;
// it returns false if a write fails, the lease is lost, or the clock disagrees with the others. Errors are logged.
func (s *session) writeNext(ctx context.Context, leadership replication.Leadership) bool {
	documents, err := s.readDocuments(ctx)
	token, _, held := leadership.Token()
	now, agrees := s.edge.ClockAgrees(s.bounds().Guard) // read last: the write's times are computed from it
	if !held || !agrees {
		return false
	}
	var write *documentWrite
	if err == nil {
		write, _, err = s.currentProposal().nextWrite(documents, now)
	}
	if err == nil && write != nil {
		err = s.put(ctx, write, token)
	}
	if err != nil {
		s.runtime.Log.Warn().Err(err).Msg("purge: writing document failed")
		return false
	}
	if write == nil {
		return false
	}
	s.runtime.Log.Info().Str("document", write.key).Msg("purge: document written")
	return true
}

// put makes a write, fenced by a token of the writer's lease. It blocks for at most a lease term.
func (s *session) put(ctx context.Context, write *documentWrite, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.Term)
	defer cancel()
	_, err := s.runtime.Store.Put(ctx, write.key, write.expectedVersion, write.value, replication.Fence{Lease: writerLease, Token: token})
	return err
}

// readDocuments reads from the voters the plan, the requested orders and the orders in this pooler's replica. It blocks for at most a lease
// term.
func (s *session) readDocuments(ctx context.Context) ([]replication.Document, error) {
	keys := map[string]bool{planKey: true}
	for _, requested := range s.currentProposal().Orders {
		keys[orderPrefix+requested.Name] = true
	}
	for _, d := range s.runtime.View.List(orderPrefix) {
		keys[d.Key] = true
	}
	ctx, cancel := context.WithTimeout(ctx, s.Term)
	defer cancel()
	var documents []replication.Document
	for key := range keys {
		d, err := s.runtime.Store.Read(ctx, key)
		if err != nil {
			return nil, err
		}
		if d.Version > 0 {
			documents = append(documents, d)
		}
	}
	return documents, nil
}
