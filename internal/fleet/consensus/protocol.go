package consensus

import (
	"bufio"
	"errors"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// The first byte of a connection identifies its protocol.
const (
	connectionRaft   = 'R' // opened by another voter; raft RPCs follow
	connectionClient = 'L' // opened by a client; requests follow, one per line
)

const (
	maxRequestBytes  = 128 << 10 // fits a document of replication.MaxDocumentSize, encoded as JSON
	maxResponseBytes = 8 << 20   // fits documents of replication.MaxTotalSize, encoded as JSON
)

// Traffic kinds under which messages and bytes are counted. For raft each read or write of a connection counts as one message;
// for the others each line does.
const (
	trafficKindRaft  = "raft"
	trafficKindLease = "lease"
	trafficKindPut   = "documents/put"
	trafficKindRead  = "documents/read"
	trafficKindFetch = "documents/fetch"
)

// request is a client's request, encoded as one line of JSON. Put and Read are requests for one document and Since is a request
// for all documents; with none of them set it is a request for a lease.
type request struct {
	Release      bool               `json:"release,omitempty"`
	Lease        lease.Name         `json:"duty,omitempty"`
	Holder       string             `json:"holder"`
	Duration     time.Duration      `json:"term_ns,omitempty"`
	Put          *replication.Write `json:"put,omitempty"`
	Read         string             `json:"read,omitempty"`
	Since        *uint64            `json:"since,omitempty"` // version; any voter returns its documents if they are newer
	Linearizable bool               `json:"sure,omitempty"`  // with Since: only the leader answers, with all writes completed before the request
}

// validate returns an error if a required field is missing. The error's text is sent to the client.
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

// trafficKind returns the traffic kind under which a request and its response are counted.
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

// response is the response to a request, encoded as one line of JSON.
type response struct {
	OK           bool                  `json:"ok"`
	Lease        lease.Lease           `json:"grant"`
	Version      uint64                `json:"version,omitempty"`
	Refused      string                `json:"refused,omitempty"` // key of refusalErrors, if a write was refused
	Reason       string                `json:"why,omitempty"`     // error text, with Refused
	Doc          *replication.Document `json:"doc,omitempty"`
	State        *replication.Snapshot `json:"state,omitempty"`
	Leader       string                `json:"leader,omitempty"` // name of the leader, if this voter is not the leader and knows it
	Error        string                `json:"error,omitempty"`  // set if the request was not decided; the client retries it
	MaybeApplied bool                  `json:"unsure,omitempty"` // with Error: the request may have been applied, or may be applied later
}

// refusalErrors maps the wire names of refusals to their errors. A refusal is a decision, so the client does not retry the write.
var refusalErrors = map[string]error{
	"conflict": replication.ErrConflict,
	"fenced":   replication.ErrFenced,
	"large":    replication.ErrTooLarge,
}

// refusalName returns the wire name of an error of replication.DocumentTable.Apply.
func refusalName(err error) string {
	for name, refusalErr := range refusalErrors {
		if errors.Is(err, refusalErr) {
			return name
		}
	}
	return "large"
}

var errLineTooLong = errors.New("consensus: read line: line exceeds the size limit")

// readLine reads a line and returns it without the line feed. It returns errLineTooLong for a line that exceeds limit bytes by
// more than the reader's buffer, so it never holds an unbounded line in memory.
func readLine(reader *bufio.Reader, limit int) (line []byte, err error) {
	for {
		fragment, err := reader.ReadSlice('\n')
		line = append(line, fragment...)
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
