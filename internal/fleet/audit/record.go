// Package audit records what a pooler did and on which version, and finds out from the journals of many poolers what the fleet did: its
// versions over time, stragglers, acts by outdated tokens, and when poolers disagreed about a primary.
//
// It owns the journal's file (Journal) and its format (Append, Next, Parse). It decides nothing that a pooler acts on: Merge only reports.
// A Journal is used on one goroutine; all else is functions of their arguments.
package audit

import "time"

// Act is what a record is about.
type Act string

// The acts, each with the fields that its record has beside those of every record.
const (
	Started         Act = "started"       // the process serves
	Ended           Act = "ended"         // the process was shut down in order
	PrimaryAdopted  Act = "primary-taken" // Group, Server: writes go there from now on
	PrimaryDropped  Act = "primary-left"  // Group, Server: writes go there no longer
	ListApplied     Act = "list-taken"    // Revision; Token and Sequence if the list was announced by the leader
	ConfigApplied   Act = "config-taken"  // Config
	LeaseHeld       Act = "lease-held"    // Token
	LeaseLost       Act = "lease-lost"    // Token
	ListAnnounced   Act = "handed-on"     // Token, Sequence, Revision: by the leader
	WritesBarred    Act = "shut-out"      // the pooler takes no writes: it is barred, or has lagged for too long
	WritesRestored  Act = "brought-up"    // the pooler takes writes again
	Refused         Act = "refused"       // Token, Sequence: an announcement or a list that was older than one before it
	EjectionBegun   Act = "verdict-begun" // Server: the fleet takes it to be bad, by the evidence that this pooler has
	EjectionEnded   Act = "verdict-ended" // Server: the fleet does so no longer
	Purged          Act = "purged"        // Purge, Due: a cache was emptied, once for each purge
	ReplicaNotSaved Act = "unkept"        // the replica of the documents can't be saved
	ReplicaSaved    Act = "kept"          // the replica can be saved again
	RecordsDropped  Act = "dropped"       // Sequence: how many acts could not be written since the record before
	QuotasAllocated Act = "limits-dealt"  // Token: this pooler allocates the fleet's quotas from now on
)

// MustBeRecorded reports whether the act must be in the journal once: if a full disk refuses it, it is written when there is room again.
func (a Act) MustBeRecorded() bool { return a == Purged }

// Record is one act of one pooler. Fields that an act has no use for are left out.
type Record struct {
	At       int64  `json:"at"`       // Unix ns, by the pooler's clock
	Instance string `json:"instance"` // NAME/PROCESS: the pooler's name, and what tells its processes apart
	Build    string `json:"build"`
	Config   string `json:"config"`   // digest of the configuration in force
	Revision uint64 `json:"revision"` // of the list in force
	Token    uint64 `json:"token,omitempty"`
	Sequence uint64 `json:"seq,omitempty"`
	Act      Act    `json:"act"`
	Group    int    `json:"group,omitempty"`
	Server   string `json:"server,omitempty"`
	Purge    string `json:"purge,omitempty"` // names the close, plan or order for good, the same at all poolers
	Due      int64  `json:"due,omitempty"`   // the purge's instant, Unix ns
}

// Time returns At.
func (r Record) Time() time.Time { return time.Unix(0, r.At) }
