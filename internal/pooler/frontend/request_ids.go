package frontend

import "hash/maphash"

// maxAbandonedIDs is the number of IDs that are remembered of requests whose clients have disconnected.
const maxAbandonedIDs = 8192

// requestIDs are the IDs by which a request is recognized that comes again, as hashes: clients may send long ones. Those of requests in
// flight are kept, and those of requests that may have been executed and whose clients have left without an answer: sent again, such a
// request would be executed twice.
type requestIDs struct {
	seed      maphash.Seed
	open      map[uint64]bool
	abandoned map[uint64]bool
	order     []uint64 // of the abandoned IDs, oldest first from next on once it is full
	next      int      // place in order of the next abandoned ID
}

func newRequestIDs() requestIDs {
	return requestIDs{seed: maphash.MakeSeed(), open: map[uint64]bool{}, abandoned: map[uint64]bool{}}
}

func (r *requestIDs) hash(id string) uint64 { return maphash.String(r.seed, id) }

// CheckRequestID returns ErrRequestIDOpen if a request with the same ID is in flight, because their answers could not be told
// apart, and ErrRequestIDUsed if one that may have been executed has been abandoned. A request without an ID always passes.
func (r *requestIDs) CheckRequestID(id string) error {
	switch hash := r.hash(id); {
	case id == "":
		return nil
	case r.open[hash]:
		return ErrRequestIDOpen
	case r.abandoned[hash]:
		return ErrRequestIDUsed
	}
	return nil
}

// BeginRequest records that a request with this ID is in flight, until EndRequest or AbandonRequest.
func (r *requestIDs) BeginRequest(id string) {
	if id != "" {
		r.open[r.hash(id)] = true
	}
}

// EndRequest allows other requests to use the ID.
func (r *requestIDs) EndRequest(id string) { delete(r.open, r.hash(id)) }

// AbandonRequest records that the client of a request that may have been executed has disconnected without its answer. The oldest of
// maxAbandonedIDs is forgotten for it.
func (r *requestIDs) AbandonRequest(id string) {
	r.EndRequest(id)
	if id == "" {
		return
	}
	hash := r.hash(id)
	if len(r.order) < maxAbandonedIDs {
		r.order = append(r.order, hash)
	} else {
		delete(r.abandoned, r.order[r.next])
		r.order[r.next] = hash
	}
	r.next = (r.next + 1) % maxAbandonedIDs
	r.abandoned[hash] = true
}
