package consensus

import (
	"bufio"
	"errors"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// The first byte of a connection says who opened it.
const (
	connectionRaft   = 'R' // another voter: raft's own messages follow
	connectionClient = 'L' // a client: requests follow, a line each
)

const (
	maxRequestBytes  = 128 << 10 // a document's largest value, as JSON
	maxResponseBytes = 8 << 20   // all documents, as JSON
)

// The kinds by which traffic is counted: raft's own by reads and writes, requests and responses by lines.
const (
	trafficKindRaft  = "raft"
	trafficKindLease = "lease"
	trafficKindPut   = "documents/put"
	trafficKindRead  = "documents/read"
	trafficKindFetch = "documents/fetch"
)

// request is what a client sends, one JSON line: with Put or Read it is about one document, with Since about all, else about a
// lease.
type request struct {
	Release      bool               `json:"release,omitempty"`
	Lease        lease.Name         `json:"duty,omitempty"`
	Holder       string             `json:"holder"`
	Duration     time.Duration      `json:"term_ns,omitempty"`
	Put          *replication.Write `json:"put,omitempty"`
	Read         string             `json:"read,omitempty"`
	Since        *uint64            `json:"since,omitempty"` // any voter answers with what it has, if that is newer
	Linearizable bool               `json:"sure,omitempty"`  // with Since: the leader answers, as of the request
}

// validate says what is missing of a request.
func (r request) validate() error {
	switch {
	case r.Holder == "":
		return errors.New("holder is missing")
	case r.Put != nil || r.Read != "" || r.Since != nil:
		return nil
	case r.Lease == "" || r.Duration <= 0 && !r.Release:
		return errors.New("duty or term_ns is missing")
	}
	return nil
}

// trafficKind is what a request and its response are counted as.
func (r request) trafficKind() string {
	switch {
	case r.Put != nil:
		return trafficKindPut
	case r.Read != "":
		return trafficKindRead
	case r.Since != nil:
		return trafficKindFetch
	}
	return trafficKindLease
}

// response answers a request, one JSON line.
type response struct {
	OK           bool                  `json:"ok"`
	Lease        lease.Lease           `json:"grant"`
	Version      uint64                `json:"version,omitempty"`
	Refused      string                `json:"refused,omitempty"` // a write: a key of refusalErrors
	Reason       string                `json:"why,omitempty"`     // of Refused
	Doc          *replication.Document `json:"doc,omitempty"`
	State        *replication.Snapshot `json:"state,omitempty"`
	Leader       string                `json:"leader,omitempty"` // the voter to ask, as this one is not the leader
	Error        string                `json:"error,omitempty"`  // nothing is decided
	MaybeApplied bool                  `json:"unsure,omitempty"` // with Error: the request may have been applied, or may be yet
}

// refusalErrors are the ways in which a write is refused for good, by their names between processes.
var refusalErrors = map[string]error{
	"conflict": replication.ErrConflict,
	"fenced":   replication.ErrFenced,
	"large":    replication.ErrTooLarge,
}

// refusalName is the key of refusalErrors for an error.
func refusalName(err error) string {
	for name, known := range refusalErrors {
		if errors.Is(err, known) {
			return name
		}
	}
	return "large"
}

var errLineTooLong = errors.New("consensus: read: the line is too long")

// readLine reads a line of up to limit bytes, without its end.
func readLine(in *bufio.Reader, limit int) (line []byte, err error) {
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > limit:
			return nil, errLineTooLong
		}
	}
}
