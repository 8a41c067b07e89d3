package shardmap

import "time"

const (
	// requestsPerTerm is the number of requests that a router sends per term, so that two requests or grants may be lost before its write
	// lease expires.
	requestsPerTerm = 3
	// maxPendingRequests is the maximum number of requests whose grants are still accepted.
	maxPendingRequests = 8
)

// Request is a router's message to the coordinator while a move is active. It requests a write lease and acknowledges an epoch. A write
// lease permits a process to write to ranges in active moves; it expires after one term unless it is renewed.
type Request struct {
	ID       uint64 `json:"id"`
	Name     string `json:"name"` // name of the pooler
	Instance string `json:"instance"`
	// AcknowledgedEpoch is the newest epoch whose map the router obeys in every write that it sends from now on and in every write in
	// flight.
	AcknowledgedEpoch uint64 `json:"known"`
}

// Grant is the coordinator's answer to a Request. It grants a write lease of one term, counted from the sending of the request, to a
// router that has applied the map of the epoch.
type Grant struct {
	ID       uint64 `json:"id"` // Request.ID
	Instance string `json:"instance"`
	Epoch    uint64 `json:"epoch"` // epoch of the map at the coordinator when it granted the lease
}

// sentRequest describes the last request that was sent.
type sentRequest struct {
	sentAt       time.Time
	epoch        uint64
	acknowledged uint64
	coordinator  string
}

// acknowledgedEpoch returns the newest epoch whose map this process obeys in every write that it sends or has in flight. The caller holds
// the mutex.
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

// RequestDue reports whether a request is due: after a change of the epoch, the acknowledged epoch or the coordinator, and otherwise at
// regular intervals. Changes of other shared documents do not make a request due: in a fleet of hundreds of poolers, a request by each
// pooler at each change of any document would overload the coordinator.
func (r *Router) RequestDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.lastRequest
	changed := last.epoch != r.document.Epoch || last.acknowledged != r.acknowledgedEpoch() || last.coordinator != r.document.Holder
	return changed || time.Since(last.sentAt) >= r.Term/requestsPerTerm
}

// NextRequest returns this process's next request and the name of the coordinator, which the caller sends it to. ok is false if there is
// nothing to request, because no move is active or this process is not enrolled.
func (r *Router) NextRequest() (request Request, coordinator string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasWritesInFlight(Range{}) // removes writes whose deadline has passed
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

// ApplyGrant extends the write lease by a grant. The lease starts when its request was sent, not when the grant arrives, and ends early by
// the maximum clock drift. It has therefore expired here before the coordinator, which starts counting later, assumes so. Grants of an
// epoch that this process has not applied yet are ignored. acknowledgesMore reports whether this process can acknowledge a newer epoch
// because of the grant.
func (r *Router) ApplyGrant(g Grant) (acknowledgesMore bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaseStart, pending := r.requestedAt[g.ID]
	newerEpoch := g.Epoch > r.document.Epoch && r.disabled.inForce(ruleNewestEpoch)
	if !pending || g.Instance != r.Instance || newerEpoch {
		return false
	}
	if !r.disabled.inForce(ruleLeaseFromRequest) {
		leaseStart = time.Now()
	}
	if until := leaseStart.Add(r.Term - r.MaxClockDrift); until.After(r.writeLeaseEnd) {
		r.writeLeaseEnd = until
	}
	if !time.Now().Before(r.writeLeaseEnd) {
		return false
	}
	for _, m := range r.document.Moves {
		if r.isExempt(m) {
			r.needsWriteLease[m.Name] = true
			acknowledgesMore = true
		}
	}
	return acknowledgesMore
}
