// Package coordination holds the types that a pooler and the coordinator of its fleet exchange: the events that the
// coordinator reports and the status that it shows. It stands below both, so that a pooler that is on its own links none of
// the fleet's libraries, and the fleet does not depend on the assembled pooler. It decides nothing and runs no goroutine.
package coordination

import (
	"time"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/traffic"
)

// Events are the callbacks by which a coordinator reports to its pooler. They are called on any goroutine, several at the same
// time, and must not block.
type Events struct {
	// Announced reports the leader's announcement of a list, with the least version that the leader's operators allow.
	Announced func(a discoveryleader.Announcement, minimum discoveryleader.MinimumVersion)
	// ListRequested reports that a pooler asks for the list in force here.
	ListRequested func(from string)
	// ListReceived reports a list that came with its announcement.
	ListReceived func(a discoveryleader.Announcement, list []byte)
	// PrimaryReportedDown reports that another pooler has lost a group's primary.
	PrimaryReportedDown func(group int)
	// PrimaryAnnounced reports the server that the leader, by its token, has found to be a group's primary, as of a Unix time;
	// "": it has found none.
	PrimaryAnnounced func(token uint64, group int, server string, asOf time.Duration)
	// Audit takes a record for the journal; what the pooler knows of itself is filled in.
	Audit func(audit.Record)
	// Failed reports an error with which the pooler must not serve on.
	Failed func(error)
}

// Status is how a pooler's part in its fleet stands.
type Status struct {
	DocumentsVersion      uint64          // of the shared documents in force
	DocumentsAge          time.Duration   // since a voter knew of nothing newer; below 0: not since the start
	ReplicaWriteFailing   bool            // the replica of the documents can't be written to its disk
	VoterWriteFailing     bool            // the log of the voter in this process can't be written
	JournalRecordsDropped uint64          // records that are not in the journal; filled in by the pooler
	JournalWriteFailing   bool            // the last record could not be written; filled in by the pooler
	Traffic               []traffic.Count // with the other poolers and the voters
	Poolers               int             // considered alive, this one among them
	DocumentTransport     string          // by which shared documents come here: "gossip", "stream", "distributor", or "none" where there is no stream
	Streams               int             // of a distributor: poolers with a stream to it
	PoolersBehind         int             // of a distributor: of all poolers with a stream anywhere, how many have older documents than their distributor
	OldestVersion         uint64          // of a distributor: the oldest version in force among them
}
