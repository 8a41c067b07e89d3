package pooler

import (
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
)

// A pooler whose build or configuration is below the minimum that the operators allow, or whose list is too old, is excluded: it
// holds no lease and accepts no writes.

// applyMinimum resigns where this build or configuration is below the minimum.
func (d *listLeadership) applyMinimum(minimum discoveryleader.MinimumVersion) {
	d.minimum = minimum
	d.carryOut(d.election.SetExcluded(d.loop.Now(), minimum.Excludes(d.version, d.configRevision)))
}

// applyFleetConfig takes over which revision of the configuration this pooler has now, and the minimum of its own file. A pooler
// that follows a leader goes by what the leader announced last, if that is more.
func (d *listLeadership) applyFleetConfig(revision uint64, minimum discoveryleader.MinimumVersion) {
	d.configRevision = revision
	_, leads := d.election.Token(d.loop.Now())
	if !leads && d.minimum.ConfigRevision > minimum.ConfigRevision {
		minimum = d.minimum
	}
	d.applyMinimum(minimum)
}

// setExcluded stops or resumes accepting writes, and tells so wherever operators look for it.
func (d *listLeadership) setExcluded(excluded bool) {
	if excluded == d.excluded {
		return
	}
	d.excluded = excluded
	d.dispatcher.SetWritesAllowed(!excluded)
	d.setAdmitted(!excluded)
	if !excluded {
		d.log.Info().Msg("brought up: writes are taken again")
		d.record(audit.Record{Act: audit.WritesRestored})
		return
	}
	d.log.Error().Str("build", d.version).Uint64("config_revision", d.configRevision).
		Msg("shut out: the fleet has left this pooler's build, configuration or list behind; writes are refused")
	d.record(audit.Record{Act: audit.WritesBarred})
}
