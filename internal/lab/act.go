package lab

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/lab/faults"
	"threadsail/internal/lab/relay"
	"threadsail/internal/lab/standin"
)

// some names a set of indices for a person: a short one whole, a long one by its size.
func some(set []int) string {
	if len(set) > 12 {
		return fmt.Sprintf("%d of them", len(set))
	}
	return fmt.Sprint(set)
}

// replace puts a new server, a replica, in place j: the old one goes down, relays lead to the new one, and every list
// service names it instead.
func (r *fleetRun) replace(j int) {
	old := r.servers.Servers[j]
	r.replaced++
	fresh := r.servers.Server(fmt.Sprintf("db%d-%d", j+1, r.replaced), false)
	fresh.Cell = old.Cell
	r.work(fresh)
	if _, ok := r.Scenario.Fleet.Limits.OnTarget(config.LimitCold); ok {
		fresh.Started = time.Now()
	}
	r.servers.Servers[j] = fresh
	for i := range r.relays {
		r.relays[i][j] = r.link(i, j, fresh)
	}
	for _, m := range r.members {
		m.List()
	}
	old.Down()
	r.ups = append(r.ups, up{j, time.Now()})
}

// holder is the pooler that has watched a list service of its own for longest, as those tell; none: nobody watches one.
func (r *fleetRun) holder() []int {
	var oldest time.Time
	var found []int
	for i, m := range r.members {
		if since, ok := m.Discovery.Open(); ok && (found == nil || since.Before(oldest)) {
			oldest, found = since, []int{i}
		}
	}
	return found
}

// act carries out one step of the plan.
func (r *fleetRun) act(step faults.Step) {
	if step.Holder || step.Dealer {
		if !step.Act.Ends() {
			r.held[step.Index] = r.holder()
			if step.Dealer {
				r.held[step.Index] = r.dealer.now()
			}
		}
		step.Poolers = r.held[step.Index]
	}
	if step.Act == faults.Machine || step.Act == faults.Boot {
		step.Poolers = r.Scenario.Machine(step.Poolers)
	}
	r.say("%s, poolers %s, servers %s", step.Act, some(step.Poolers), some(step.Servers))
	r.badFor(step)
	links := func(fault relay.Fault) {
		for _, p := range step.Poolers {
			for _, s := range step.Servers {
				r.relays[p][s].Set(fault)
			}
		}
	}
	var some []*pooler
	for _, i := range step.Poolers {
		some = append(some, r.poolers[i])
	}
	each := func(do func(p *pooler)) { r.each(some, do) }
	if step.Act == faults.Kill && r.killed.IsZero() {
		r.killed = time.Now()
	}
	switch step.Act {
	case faults.Kill, faults.Term:
		sig := map[faults.Act]syscall.Signal{faults.Kill: syscall.SIGKILL, faults.Term: syscall.SIGTERM}[step.Act]
		each(func(p *pooler) {
			p.goOut()
			if exited := p.signal(sig); exited != nil {
				<-exited
			}
		})
	case faults.Wipe:
		each(func(p *pooler) {
			p.goOut()
			if exited := p.signal(syscall.SIGKILL); exited != nil {
				<-exited
			}
			if err := os.RemoveAll(r.peers.copyDir(r.members[p.i])); err != nil {
				r.fail(err.Error())
			}
		})
	case faults.Stop:
		each(func(p *pooler) { p.goOut(); p.signal(syscall.SIGSTOP) })
	case faults.Cont:
		each(func(p *pooler) { p.signal(syscall.SIGCONT); p.comeBack() })
	case faults.Restart:
		each(func(p *pooler) {
			if p.up() == "" {
				r.start(p)
			}
		})
	case faults.Full, faults.Room:
		each(func(p *pooler) {
			if err := p.room(step.Act == faults.Room); err != nil {
				r.fail(err.Error())
			}
		})
	case faults.Machine, faults.Boot:
		r.machine(step.Poolers, some, step.Act == faults.Boot)
	case faults.Hup:
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Retune:
		for _, i := range step.Poolers {
			r.members[i].Retune()
			if r.peers.files != nil { // the new one is the least that the operators allow from now on
				r.peers.files[i]["config_revision"], r.peers.files[i]["least_config"] = 2, 2
				r.members[i].File("PROXY_FLEET", r.peers.files[i])
			}
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Closes, faults.Order:
		var files []map[string]any
		for _, i := range step.Poolers {
			files = append(files, r.peers.files[i])
		}
		if step.Act == faults.Order {
			r.purges.order(time.Now(), files)
		} else {
			r.purges.closes(time.Now().Add(step.Delay), files)
		}
		for _, i := range step.Poolers {
			r.members[i].File("PROXY_FLEET", r.peers.files[i])
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Reshard:
		r.shards.reshard(r.Scenario.Groups)
		for _, i := range step.Poolers {
			r.shards.into(r.peers.files[i], i, r.Scenario.Groups, r.Scenario.Fleet.Term)
			r.members[i].File("PROXY_FLEET", r.peers.files[i])
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.NoList, faults.Lists:
		for _, i := range step.Poolers {
			r.members[i].Discovery.Out(step.Act == faults.NoList)
		}
	case faults.Move:
		for _, i := range step.Poolers {
			r.members[i].Move()
			r.lists = append(r.lists, r.members[i].Discovery)
		}
		each(func(p *pooler) { p.signal(syscall.SIGHUP) })
	case faults.Isolate:
		r.peers.set(step.Poolers, relay.Fault{Drop: true}, false)
	case faults.Lag:
		r.peers.set(step.Poolers, relay.Fault{Delay: step.Delay, Jitter: step.Jitter}, true)
	case faults.Mute, faults.Deaf:
		r.peers.oneWay(step.Poolers, step.Act == faults.Mute)
	case faults.Rejoin:
		r.peers.set(step.Poolers, relay.Fault{}, true)
	case faults.Replace:
		for _, j := range step.Servers {
			r.replace(j)
		}
	case faults.Cut:
		links(relay.Fault{Drop: true})
	case faults.OneWay:
		links(relay.Fault{Drop: true, OneWay: true})
	case faults.Delay:
		links(relay.Fault{Delay: step.Delay, Jitter: step.Jitter})
	case faults.Reset:
		links(relay.Fault{Refuse: true})
	case faults.Heal:
		links(relay.Fault{})
	case faults.Err:
		for _, j := range step.Servers {
			r.servers.Servers[j].Do(func(standin.Seen) standin.Act { return standin.Fault })
		}
	case faults.Right:
		for _, j := range step.Servers {
			r.servers.Servers[j].Do(nil)
			r.work(r.servers.Servers[j])
		}
	case faults.Drain, faults.Ready:
		r.drain(step)
	case faults.Down:
		for _, s := range step.Servers {
			r.servers.Servers[s].Down()
		}
	case faults.Up:
		for _, s := range step.Servers {
			if err := r.servers.Servers[s].Up(); err != nil {
				r.fail(err.Error())
			}
			r.ups = append(r.ups, up{s, time.Now()})
		}
	case faults.Promote:
		next := r.servers.Servers[step.Servers[0]]
		for _, s := range r.servers.Servers {
			if s.Cell == next.Cell {
				s.Set(s == next, 0)
			}
		}
	}
}

// machine drops whole machines, or boots them. A machine that drops says nothing any more: its links are cut before its
// processes end, so that nobody hears connections close.
func (r *fleetRun) machine(poolers []int, processes []*pooler, boots bool) {
	var fault relay.Fault
	fault.Drop = !boots
	r.peers.set(poolers, fault, false)
	if !r.Scenario.Direct {
		for _, i := range poolers {
			for _, l := range r.relays[i] {
				l.Set(fault)
			}
		}
	}
	r.each(processes, func(p *pooler) {
		switch {
		case !boots:
			p.goOut()
			if exited := p.signal(syscall.SIGKILL); exited != nil {
				<-exited
			}
		case p.up() == "":
			r.start(p)
		}
	})
}
