package distribution

import (
	"fmt"

	"threadsail/internal/fleet/replication"
)

// nextSnapshot applies an update to a replica's current snapshot and returns the result. The frame's kind tells whether body is a delta or
// a snapshot. newer is false if the update is not newer than the current snapshot; next must not be used then. Errors wrap
// errMalformedFrame or errDeltaGap.
func nextSnapshot(kind frameKind, body []byte, current replication.Snapshot) (next replication.Snapshot, newer bool, err error) {
	if kind == kindSnapshot {
		err = decodeJSON(body, &next)
		return next, err == nil && next.Version > current.Version, err
	}
	var delta replication.Delta
	if err := decodeJSON(body, &delta); err != nil {
		return next, false, err
	}
	if delta.Version <= current.Version {
		return next, false, nil
	}
	next, ok := delta.ApplyTo(current)
	if !ok {
		return next, false, fmt.Errorf("%w: delta from version %d to %d, replica at version %d", errDeltaGap, delta.BaseVersion, delta.Version, current.Version)
	}
	return next, true, nil
}
