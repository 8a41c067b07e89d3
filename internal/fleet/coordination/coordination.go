// Package coordination defines the types that a pooler and its fleet coordinator exchange: the events and the status that the
// coordinator reports. Both import it, so that a pooler without a fleet links none of the fleet's libraries, and the fleet does
// not depend on the assembled pooler. The package contains no logic and starts no goroutine.
package coordination

import (
	"time"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/traffic"
)

// Events are the callbacks by which a coordinator reports to its pooler. They are called on any goroutine, also concurrently,
// and must not block.
type Events struct {
	// Announced reports the leader's announcement of a list, with the minimum version that the leader's operators allow.
	Announced func(a discoveryleader.Announcement, minimum discoveryleader.MinimumVersion)
	// ListRequested reports that another pooler requests the current list of this pooler.
	ListRequested func(from string)
	// ListReceived reports a list received from another pooler, with its announcement.
	ListReceived func(a discoveryleader.Announcement, list []byte)
	// PrimaryReportedDown reports that another pooler has found a group's primary down.
	PrimaryReportedDown func(group int)
	// PrimaryAnnounced reports the server that the leader with the token has found to be a group's primary, or "" for none. asOf
	// is the Unix time of the evidence.
	PrimaryAnnounced func(token uint64, group int, server string, asOf time.Duration)
	// Audit passes on a record for the journal. The pooler fills in the fields that describe itself.
	Audit func(audit.Record)
	// Failed reports an error after which the pooler must stop serving.
	Failed func(error)
}

// Status is the status of a pooler as a member of its fleet.
type Status struct {
	DocumentsVersion      uint64          // version of the shared documents in force
	DocumentsAge          time.Duration   // time since a voter confirmed that there is no newer version; negative: not since the start
	ReplicaWriteFailing   bool            // the replica of the documents can't be written to disk
	VoterWriteFailing     bool            // the log of the voter in this process can't be written
	JournalRecordsDropped uint64          // number of records missing from the journal; filled in by the pooler
	JournalWriteFailing   bool            // the last record could not be written; filled in by the pooler
	Traffic               []traffic.Count // messages and bytes exchanged with the other poolers and the voters
	Poolers               int             // number of poolers considered alive, including this one
	DocumentTransport     string          // path of the shared documents: "gossip", "stream", "distributor" (this pooler), "none" (no stream)
	Streams               int             // of a distributor: poolers with a stream to it
	PoolersBehind         int             // of a distributor: poolers of all distributors whose documents are older than their distributor's
	OldestVersion         uint64          // of a distributor: oldest version in force at the poolers of all distributors
}
