package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// request is what a pooler asks, one JSON line: with Put or Read of a document, with Since for all documents, else for a lease.
// answer is the answer, one line too.
type request struct {
	Release      bool               `json:"release,omitempty"`
	Lease        lease.Name         `json:"duty,omitempty"`
	Holder       string             `json:"holder"`
	Duration     time.Duration      `json:"term_ns,omitempty"`
	Put          *replication.Write `json:"put,omitempty"`
	Read         string             `json:"read,omitempty"`
	Since        *uint64            `json:"since,omitempty"` // any steward answers with what it has, if that is newer
	Linearizable bool               `json:"sure,omitempty"`  // of Since: the leader answers, as of the ask
}

// validate tells what is missing of an ask.
func (a request) validate() error {
	switch {
	case a.Holder == "":
		return errors.New("holder is missing")
	case a.Put != nil || a.Read != "" || a.Since != nil:
		return nil
	case a.Lease == "" || a.Duration <= 0 && !a.Release:
		return errors.New("duty or term_ns is missing")
	}
	return nil
}

// trafficKindRaft is what stewards say to each other, counted by reads and writes; asks and answers are counted by the line.
const trafficKindRaft = "raft"

// trafficKind is what an ask and its answer are counted as.
func (a request) trafficKind() string {
	switch {
	case a.Put != nil:
		return "documents/put"
	case a.Read != "":
		return "documents/read"
	case a.Since != nil:
		return "documents/fetch"
	}
	return "lease"
}

type response struct {
	OK           bool                  `json:"ok"`
	Lease        lease.Lease           `json:"grant"`
	Version      uint64                `json:"version,omitempty"`
	Refused      string                `json:"refused,omitempty"` // a write: one of the refusals
	Reason       string                `json:"why,omitempty"`
	Doc          *replication.Document `json:"doc,omitempty"`
	State        *replication.Snapshot `json:"state,omitempty"`
	Leader       string                `json:"leader,omitempty"` // ask that one; this one is not it
	Error        string                `json:"error,omitempty"`  // nothing is decided
	MaybeApplied bool                  `json:"unsure,omitempty"` // of Error: it may have been taken, or may be yet
}

// refusalErrors are the ways in which a write is refused for good, by the names that they go by between processes.
var refusalErrors = map[string]error{"conflict": replication.ErrConflict, "fenced": replication.ErrFenced, "large": replication.ErrTooLarge}

func refusalName(err error) string {
	for name, known := range refusalErrors {
		if errors.Is(err, known) {
			return name
		}
	}
	return "large"
}

func (s *Voter) monotonicNow() time.Duration { return time.Since(s.startedAt) }

// followLeadership follows this steward's terms of office: a clock is set once all that came before has been applied.
func (s *Voter) followLeadership() {
	for {
		select {
		case <-s.shutdown:
			return
		case leads := <-s.raft.LeaderCh():
			s.mu.Lock()
			s.clock = lease.Clock{}
			s.mu.Unlock()
			if !leads {
				continue
			}
			epoch := s.raft.CurrentTerm()
			if !s.awaitBarrier(epoch) {
				continue // it has lost its office again
			}
			s.state.mu.Lock()
			clock := s.state.lessor.StartClock(epoch, s.monotonicNow())
			s.state.mu.Unlock()
			s.mu.Lock()
			s.clock = clock
			s.mu.Unlock()
			s.log(fmt.Sprintf("steward %s leads in term %d", s.options.Name, epoch))
		}
	}
}

// awaitBarrier waits until all that came before an office has been applied, however slow the disk is, and tells whether the office still
// stands: an office without a clock would answer nobody, and no other would be elected.
func (s *Voter) awaitBarrier(epoch uint64) bool {
	for s.raft.Barrier(s.options.ElectionTimeout).Error() != nil {
		if s.raft.State() != raft.Leader || s.raft.CurrentTerm() != epoch {
			return false
		}
		select {
		case <-s.shutdown:
			return false
		case <-time.After(s.options.ElectionTimeout / 10):
		}
	}
	return true
}

// leaderClock is this steward's clock as the leader, or else the answer that names another.
func (s *Voter) leaderClock() (lease.Clock, response, bool) {
	s.mu.Lock()
	clock := s.clock
	s.mu.Unlock()
	if s.raft.State() != raft.Leader || clock.RaftTerm == 0 || clock.RaftTerm != s.raft.CurrentTerm() {
		_, leader := s.raft.LeaderWithID()
		if string(leader) == s.options.Name {
			leader = "" // just come to office, or just out of it
		}
		return lease.Clock{}, response{Leader: string(leader), Error: "not the leader"}, false
	}
	return clock, response{}, true
}

// handle answers an ask, or has the stewards decide.
func (s *Voter) handle(a request) response {
	if a.Since != nil && !a.Linearizable {
		return s.fetchDocuments(*a.Since)
	}
	clock, other, ok := s.leaderClock()
	switch {
	case !ok:
		return other
	case a.Since != nil:
		if _, _, err := s.confirmLeadership(); err != nil {
			return response{Error: err.Error()}
		}
		return s.fetchDocuments(*a.Since)
	case a.Read != "":
		return s.readDocument(a.Read)
	}
	now := clock.At(s.monotonicNow())
	if a.Put == nil && !a.Release {
		s.state.mu.Lock()
		g, denied := s.state.lessor.WouldDeny(a.Lease, a.Holder, now)
		s.state.mu.Unlock()
		if denied { // without a write to the log: of hundreds that stand for a duty all but one hear this, again and again
			return response{Lease: g}
		}
	}
	c := command{Command: lease.Command{Release: a.Release, Name: a.Lease, Holder: a.Holder, Duration: a.Duration, Now: now, RaftTerm: clock.RaftTerm}, Put: a.Put}
	text, err := json.Marshal(c)
	if err != nil {
		return response{Error: err.Error()}
	}
	f := s.raft.Apply(text, s.options.ElectionTimeout)
	if err := f.Error(); err != nil {
		untaken := errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout) || errors.Is(err, raft.ErrLeadershipTransferInProgress)
		return response{Error: err.Error(), MaybeApplied: !untaken}
	}
	return f.Response().(response)
}

// readDocument answers with a document as no older than the ask: all that came before this office has been applied (office), what this
// leader has decided since is applied before its asker hears of it, and none other decided meanwhile, if a majority still
// follows this one.
func (s *Voter) readDocument(key string) response {
	if _, _, err := s.confirmLeadership(); err != nil {
		return response{Error: err.Error()}
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	doc := s.state.documents.Get(key)
	return response{OK: true, Doc: &doc}
}

// confirmLeadership asks a majority whether this steward still leads, and tells the documents' version then and when it asked.
func (s *Voter) confirmLeadership() (version uint64, at time.Time, err error) {
	if _, other, ok := s.leaderClock(); !ok {
		return 0, at, errors.New(other.Error)
	}
	at = time.Now()
	if err := s.raft.VerifyLeader().Error(); err != nil {
		return 0, at, err
	}
	if _, other, ok := s.leaderClock(); !ok {
		return 0, at, errors.New(other.Error)
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.documents.Version(), at, nil
}

// ConfirmVersion tells the version of the documents that nothing was newer than at a time, by a majority; ok false: this steward does
// not lead. It waits for the others, as long as an election takes.
func (s *Voter) ConfirmVersion() (version uint64, at time.Time, ok bool) {
	version, at, err := s.confirmLeadership()
	return version, at, err == nil
}

// fetchDocuments answers with all documents, as old as they may be here.
func (s *Voter) fetchDocuments(since uint64) response {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.documents.Version() <= since {
		return response{OK: true}
	}
	state := s.state.documents.Snapshot()
	return response{OK: true, State: &state}
}
