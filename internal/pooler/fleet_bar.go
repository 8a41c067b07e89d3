package pooler

import (
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
)

// applyMinimum gives the duties up where this build or configuration is below the least that is allowed.
func (d *listLeadership) applyMinimum(least discoveryleader.MinimumVersion) {
	d.minimum = least
	d.carryOut(d.election.SetExcluded(d.loop.Now(), least.Excludes(d.version, d.configRevision)))
}

// applyFleetConfig takes over on which revision of the configuration this pooler is now, and what its own file allows. A pooler that follows a
// holder goes by what that one told last, if it is more.
func (d *listLeadership) applyFleetConfig(revision uint64, own discoveryleader.MinimumVersion) {
	d.configRevision = revision
	if _, holds := d.election.Token(d.loop.Now()); !holds && d.minimum.ConfigRevision > own.ConfigRevision {
		own = d.minimum
	}
	d.applyMinimum(own)
}

// setExcluded takes no writes any more, or again, and says so wherever it is looked for.
func (d *listLeadership) setExcluded(shut bool) {
	if shut == d.excluded {
		return
	}
	d.excluded = shut
	d.dispatcher.SetWritesAllowed(!shut)
	d.setAdmitted(!shut)
	if shut {
		d.log.Error().Str("build", d.version).Uint64("config_revision", d.configRevision).Msg("shut out: the fleet has left this pooler's build, configuration or list behind; writes are refused")
		d.record(audit.Record{Act: audit.WritesBarred})
	} else {
		d.log.Info().Msg("brought up: writes are taken again")
		d.record(audit.Record{Act: audit.WritesRestored})
	}
}
