package distribution

import (
	"fmt"

	"threadsail/internal/fleet/replication"
)

// nextSnapshot decides what an update, a delta or a snapshot by its frame's kind, makes of a replica's current snapshot; newer false: the
// replica holds it already. Errors are errMalformedFrame and errDeltaGap.
func nextSnapshot(kind frameKind, text []byte, current replication.Snapshot) (next replication.Snapshot, newer bool, err error) {
	if kind == kindSnapshot {
		err = decodeJSON(text, &next)
		return next, err == nil && next.Version > current.Version, err
	}
	var delta replication.Delta
	if err := decodeJSON(text, &delta); err != nil {
		return next, false, err
	}
	if delta.Version <= current.Version {
		return next, false, nil
	}
	next, ok := delta.ApplyTo(current)
	if !ok {
		return next, false, fmt.Errorf("%w: from version %d to %d, on %d", errDeltaGap, delta.BaseVersion, delta.Version, current.Version)
	}
	return next, true, nil
}
