package program

import (
	"golang.org/x/mod/semver"

	"threadsail/internal/fleet/audit"
)

// bar gives the duties up where this build is below the least that is allowed.
func (d *listDuty) bar(least string) {
	d.carry(d.lists.Bar(d.loop.Now(), least != "" && semver.Compare(d.build, least) < 0))
}

// shutOut takes no writes any more, or again, and says so wherever it is looked for.
func (d *listDuty) shutOut(shut bool) {
	if shut == d.shut {
		return
	}
	d.shut = shut
	d.core.TakeWrites(!shut)
	d.ready(!shut)
	if shut {
		d.log.Error().Str("build", d.build).Msg("shut out: the fleet has left this pooler's build or list behind; writes are refused")
		d.note(audit.Record{Act: audit.ShutOut})
	} else {
		d.log.Info().Msg("brought up: writes are taken again")
		d.note(audit.Record{Act: audit.BroughtUp})
	}
}
