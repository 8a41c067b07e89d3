package distribution

import "errors"

// What ends a stream because of its peer.
var (
	errMalformedFrame = errors.New("malformed frame")
	errFrameTooLong   = errors.New("frame too long")
	// What only a distributor can do.
	errDeltaGap        = errors.New("delta does not follow on the replica")
	errUnknownResource = errors.New("unknown resource")
	errDistributorLags = errors.New("distributor stays behind this pooler's replicas")
)

// sentinelOf returns the sentinel error that an error wraps, without its versions and lengths; the error itself where it wraps none.
func sentinelOf(err error) error {
	for _, sentinel := range []error{errMalformedFrame, errFrameTooLong, errDeltaGap, errUnknownResource, errDistributorLags} {
		if errors.Is(err, sentinel) {
			return sentinel
		}
	}
	return err
}

// refusedError is a call that the distributor refused.
type refusedError struct{ refusal }

func (r refusedError) Error() string { return r.Reason }
