package pooler

import (
	"fmt"
	"slices"
	"strings"

	"threadsail/internal/config"
)

// reload reads the configuration again and puts in force what can change while the pooler serves: the settings and the address of
// the list service. A configuration that can't be used changes nothing but the count of failed reloads.
func (p *instance) reload() {
	if next, err := p.loadConfig(); err != nil {
		p.reloadErrors.Add(1)
		p.log.Error().Err(err).Msg("reload: the old configuration stands")
	} else {
		p.reloads.Add(1)
		p.applyConfig(next)
	}
	p.reloadFleet()
}

// loadConfig reads the configuration again. The file of the MySQL frontend is not read again: the new configuration must fit it.
func (p *instance) loadConfig() (*config.Config, error) {
	next, err := p.control.Load(p.config)
	if err != nil {
		return nil, err
	}
	if p.mysqlConfig == nil {
		return next, nil
	}
	if err := p.mysqlConfig.CheckClasses(next.ClassNames()); err != nil {
		return nil, fmt.Errorf("%s: %w", p.mysqlConfig.Path, err)
	}
	return next, nil
}

// applyConfig puts a new configuration in force on every worker.
func (p *instance) applyConfig(next *config.Config) {
	p.log.Info().Str("discovery", next.DiscoveryAddr).Str("classes", strings.Join(next.ClassNames(), ", ")).Msg("reload: taken")
	p.keepStartupSettings(next)
	for _, w := range p.workers {
		w.loop.Post(func() { w.applyConfig(next) })
	}
	p.config = next
}

// keepStartupSettings warns of changes that hold from the next start on, and keeps the zones in force in next: servers are known by
// the numbers of their zones.
func (p *instance) keepStartupSettings(next *config.Config) {
	inForce := p.config
	if next.Listen != inForce.Listen || next.Admin != inForce.Admin || next.MaxSockets != inForce.MaxSockets ||
		next.MemoryBytes != inForce.MemoryBytes {
		p.log.Warn().Msg("reload: listen, admin and limits hold from the next start on")
	}
	if !slices.Equal(next.Zones, inForce.Zones) || next.Settings.Zone != inForce.Settings.Zone {
		p.log.Warn().Msg("reload: zones hold from the next start on")
		next.Zones, next.Settings.Zone = inForce.Zones, inForce.Settings.Zone
	}
}

// reloadFleet tells the fleet membership of the configuration in force, and has the fleet's components read their own files again.
func (p *instance) reloadFleet() {
	if p.fleetMember == nil {
		return
	}
	loop := p.postgresWorker().loop
	inForce := p.config
	loop.Post(func() { p.fleetMember.applyConfig(inForce) })
	if p.control.Fleet.Reload == nil {
		return
	}
	if next := p.control.Fleet.Reload(inForce); next != nil {
		loop.Post(func() { p.fleetMember.applyFleetConfig(next) })
	}
}
