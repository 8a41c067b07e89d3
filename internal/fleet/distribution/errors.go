package distribution

import "errors"

// Protocol violations and failures of the peer that end a stream.
var (
	errMalformedFrame = errors.New("malformed frame")
	errFrameTooLong   = errors.New("frame too long")
	// The following errors are caused by distributors only.
	errDeltaGap        = errors.New("delta does not apply to the replica's version")
	errUnknownResource = errors.New("unknown resource")
	errDistributorLags = errors.New("distributor announced other versions than this pooler's replicas for too long")
)

// sentinelOf returns the sentinel error that err wraps, without details such as versions and lengths, or err itself if it wraps none.
// Logging once per sentinel keeps a peer from filling the log by varying the details.
func sentinelOf(err error) error {
	for _, sentinel := range []error{errMalformedFrame, errFrameTooLong, errDeltaGap, errUnknownResource, errDistributorLags} {
		if errors.Is(err, sentinel) {
			return sentinel
		}
	}
	return err
}

// refusedError is the error of a connection attempt that the distributor refused.
type refusedError struct{ refusal }

func (r refusedError) Error() string { return r.Reason }
