// Package audit records the acts of a pooler together with the versions that it acted on, and merges the journals of many poolers into a
// report on the fleet: its versions over time, stragglers, acts with outdated tokens, and disagreements between poolers about a primary.
//
// The package defines the journal's file (Journal) and its format (AppendFrame, DecodeFrame, Parse). No pooler acts on the report of Merge.
// A Journal is not safe for concurrent use; the functions have no shared state.
package audit

import "time"

// Act is the kind of act that a record describes.
type Act string

// The acts, with the fields that their records set in addition to those that every record has.
const (
	Started         Act = "started"       // the process has begun to serve
	Ended           Act = "ended"         // the process has shut down in an orderly way
	PrimaryAdopted  Act = "primary-taken" // Group, Server: writes go to Server from now on
	PrimaryDropped  Act = "primary-left"  // Group, Server: writes no longer go to Server
	ListApplied     Act = "list-taken"    // Revision; also Token and Sequence if the leader announced the list
	ConfigApplied   Act = "config-taken"  // Config
	LeaseHeld       Act = "lease-held"    // Token
	LeaseLost       Act = "lease-lost"    // Token
	ListAnnounced   Act = "handed-on"     // Token, Sequence, Revision: the leader announced a list
	WritesBarred    Act = "shut-out"      // the pooler rejects writes: its version is barred, or it has lagged behind for too long
	WritesRestored  Act = "brought-up"    // the pooler accepts writes again
	Refused         Act = "refused"       // Token, Sequence: an announcement or a list was older than a previous one
	EjectionBegun   Act = "verdict-begun" // Server: the fleet ejects it as an outlier, by the evidence known to this pooler
	EjectionEnded   Act = "verdict-ended" // Server: the fleet no longer ejects it
	Purged          Act = "purged"        // Purge, Due: the cache was purged; one record for each purge
	ReplicaNotSaved Act = "unkept"        // the replica of the documents can't be written to disk
	ReplicaSaved    Act = "kept"          // the replica can be written to disk again
	RecordsDropped  Act = "dropped"       // Sequence: number of records that could not be written since the previous one
	QuotasAllocated Act = "limits-dealt"  // Token: this pooler allocates the fleet's quotas from now on
)

// MustBeRecorded reports whether the act must appear in the journal: if the disk is full, its record is kept and written when there is
// space again.
func (a Act) MustBeRecorded() bool { return a == Purged }

// Record is one act of one pooler. Fields that the act does not use are zero and omitted from the JSON.
type Record struct {
	At       int64  `json:"at"`       // Unix time in ns, by the pooler's clock
	Instance string `json:"instance"` // NAME/PROCESS: the pooler's name and an identifier of its process
	Build    string `json:"build"`
	Config   string `json:"config"`   // digest of the configuration in force
	Revision uint64 `json:"revision"` // revision of the list in force
	Token    uint64 `json:"token,omitempty"`
	Sequence uint64 `json:"seq,omitempty"`
	Act      Act    `json:"act"`
	Group    int    `json:"group,omitempty"`
	Server   string `json:"server,omitempty"`
	Purge    string `json:"purge,omitempty"` // permanent name of the close, plan or order, the same at all poolers
	Due      int64  `json:"due,omitempty"`   // scheduled time of the purge, Unix time in ns
}

// Time returns At as a time.Time.
func (r Record) Time() time.Time { return time.Unix(0, r.At) }
