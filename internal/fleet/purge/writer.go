package purge

import (
	"context"
	"math/rand/v2"
	"time"

	"threadsail/internal/fleet/replication"
)

// syncProposal writes what the documents lack of the operators' file.
func (s *session) syncProposal(ctx context.Context) {
	logged := ""
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		write, again, err := s.pendingWrite()
		if err != nil && err.Error() != logged {
			logged = err.Error()
			s.runtime.Log.Error().Err(err).Msg("purge: file's plan is not taken")
		}
		if write != nil {
			s.campaignAndWrite(ctx)
			again = s.Term
		}
		if s.waitForChange(ctx, changed, again) {
			logged = ""
		}
	}
}

// waitForChange waits until there may be something to write: the documents or the proposal have changed, or again has passed (0: never).
// It reports whether the proposal has changed.
func (s *session) waitForChange(ctx context.Context, documentsChanged <-chan struct{}, again time.Duration) (proposalChanged bool) {
	var due <-chan time.Time
	if again > 0 {
		timer := time.NewTimer(again)
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

// pendingWrite decides what this pooler's replica lacks of the proposal. Until the replica is confirmed and the clock compared there is
// nothing to go by.
func (s *session) pendingWrite() (w *documentWrite, again time.Duration, err error) {
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

// hasPendingWrite reports whether there is something to write that can be written.
func (s *session) hasPendingWrite() bool {
	w, _, err := s.pendingWrite()
	return w != nil && err == nil
}

// campaignAndWrite campaigns for the writers' lease, and writes all that is missing. A write that may yet be applied is given up together with
// the lease that it names, so it is applied within Bounds.WriteLead or not at all. Of many poolers that start with one file the first
// writes, and the others find it written.
func (s *session) campaignAndWrite(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx) // ends the campaign
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

// waitForLease waits until the lease is held. It reports false if ctx ends, or if the write is missing no longer.
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

// writeNext writes the next document that is missing, by the documents as the voters have them. It reports whether there may be more.
func (s *session) writeNext(ctx context.Context, leadership replication.Leadership) bool {
	documents, err := s.readDocuments(ctx)
	token, _, held := leadership.Token()
	now, agrees := s.edge.ClockAgrees(s.bounds().Guard) // last, as times are counted from here on
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
		s.runtime.Log.Warn().Err(err).Msg("purge: document not written")
		return false
	}
	if write == nil {
		return false
	}
	s.runtime.Log.Info().Str("document", write.key).Msg("purge: document written")
	return true
}

// put writes a document under a token of the writers' lease.
func (s *session) put(ctx context.Context, w *documentWrite, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.Term)
	defer cancel()
	_, err := s.runtime.Store.Put(ctx, w.key, w.expectedVersion, w.value, replication.Fence{Lease: writerLease, Token: token})
	return err
}

// readDocuments reads the documents that the proposal may change, as the voters have them.
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
