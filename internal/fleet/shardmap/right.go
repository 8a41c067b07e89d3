package shardmap

import "time"

const (
	// requestsPerTerm is how often a router requests its right in a term, so that two answers may be lost before the right ends.
	requestsPerTerm = 3
	// maxPendingRequests bounds the requests whose grants are still accepted.
	maxPendingRequests = 8
)

// Request is what a router sends the coordinator while a move is under way: it requests the right to write, and acknowledges an epoch.
type Request struct {
	ID       uint64 `json:"id"`
	Name     string `json:"name"` // of the pooler
	Instance string `json:"instance"`
	// AcknowledgedEpoch is the epoch that the router follows in all that it sends, and has followed in all that is in flight.
	AcknowledgedEpoch uint64 `json:"known"`
}

// Grant is a right to write, for a term from its request, for a router that has seen the epoch.
type Grant struct {
	ID       uint64 `json:"id"` // of the request
	Instance string `json:"instance"`
	Epoch    uint64 `json:"epoch"`
}

// sentRequest is what the last request was made of.
type sentRequest struct {
	sentAt       time.Time
	epoch        uint64
	acknowledged uint64
	coordinator  string
}

// acknowledgedEpoch is the epoch that this process follows in all that it sends and has in flight. The caller holds the mutex.
func (r *Router) acknowledgedEpoch() uint64 {
	epoch := r.document.Epoch
	for _, m := range r.document.Moves {
		undrained := m.State == Fenced && r.hasWritesInFlight(m.Range) && r.disabled.inForce(ruleInFlight)
		if r.isExempt(m) || undrained {
			epoch = min(epoch, m.SinceEpoch-1)
		}
	}
	return epoch
}

// RequestDue reports whether there is something to request or to acknowledge. Other documents change too, and requests of hundreds of
// poolers at each change of each other's documents would be a storm.
func (r *Router) RequestDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.lastRequest
	changed := last.epoch != r.document.Epoch || last.acknowledged != r.acknowledgedEpoch() || last.coordinator != r.document.Holder
	return changed || time.Since(last.sentAt) >= r.Term/requestsPerTerm
}

// NextRequest makes this process's next request, and returns the pooler to send it to; ok is false if no move is under way, so that there
// is nothing to request.
func (r *Router) NextRequest() (request Request, coordinator string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasWritesInFlight(Range{}) // drops writes whose deadline has passed
	if !r.isEnrolled() || !r.document.hasActiveMove() {
		return Request{}, "", false
	}
	if r.requestedAt == nil {
		r.requestedAt = map[uint64]time.Time{}
	}
	r.lastRequestID++
	r.lastRequest = sentRequest{sentAt: time.Now(), epoch: r.document.Epoch, acknowledged: r.acknowledgedEpoch(), coordinator: r.document.Holder}
	r.requestedAt[r.lastRequestID] = r.lastRequest.sentAt
	delete(r.requestedAt, r.lastRequestID-maxPendingRequests)
	request = Request{ID: r.lastRequestID, Name: r.Name, Instance: r.Instance, AcknowledgedEpoch: r.lastRequest.acknowledged}
	return request, r.lastRequest.coordinator, true
}

// ApplyGrant puts a grant in force. The right counts from its request, not from the answer, and ends a clock drift early, so it has ended
// when the coordinator, which counts from later, takes it to have ended. Only a process that has seen the grant's epoch has the right.
// ApplyGrant reports whether this process can acknowledge more now than it has.
func (r *Router) ApplyGrant(g Grant) (acknowledgesMore bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rightFrom, pending := r.requestedAt[g.ID]
	newerEpoch := g.Epoch > r.document.Epoch && r.disabled.inForce(ruleNewestEpoch)
	if !pending || g.Instance != r.Instance || newerEpoch {
		return false
	}
	if !r.disabled.inForce(ruleRightFromRequest) {
		rightFrom = time.Now()
	}
	if until := rightFrom.Add(r.Term - r.MaxClockDrift); until.After(r.rightUntil) {
		r.rightUntil = until
	}
	if !time.Now().Before(r.rightUntil) {
		return false
	}
	for _, m := range r.document.Moves {
		if r.isExempt(m) {
			r.needsRight[m.Name] = true
			acknowledgesMore = true
		}
	}
	return acknowledgesMore
}
