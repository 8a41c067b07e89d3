package program

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/mod/semver"

	"threadsail/internal/config"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/duty"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/protocol/discovery"
	"threadsail/internal/routing"
	"threadsail/rules"
)

// Fleet is the way to the other poolers and to the stewards of the leases. None of its calls waits. The program knows only
// this interface, so that the libraries behind it stay out of a pooler that is on its own.
type Fleet interface {
	// Tell passes a word on to all, and TellFound a primary that the holder found ("": none yet). Both are the holder's acts
	// and stop when the time that is left of its lease is over. done comes once on any goroutine; all: nothing was cut off.
	Tell(w duty.Word, left time.Duration, done func(all bool))
	TellFound(token uint64, group int, server string, asOf, left time.Duration, done func(all bool))
	// Acquire asks for the list duty's lease, or renews it, and calls done once, on any goroutine.
	Acquire(done func(g lease.Grant, ok bool, err error))
	Release()                                 // gives it up
	Fetch(w duty.Word)                        // asks a pooler that has it for the list of a word; it comes as FleetEvents.List, or not
	Give(to string, w duty.Word, list []byte) // sends a list to one that asked
	Report(holder string, group int)          // tells a holder that this pooler has lost a group's primary
	Show(w duty.Word, build, config string)   // what the others see of this pooler
	Close()
}

// FleetEvents is what a Fleet tells, on any goroutine.
type FleetEvents struct {
	Word   func(w duty.Word, least string) // least: the least build that the holder's operators allow; empty: any
	Wanted func(from string)
	List   func(w duty.Word, list []byte)
	Lost   func(group int)
	Found  func(token uint64, group int, server string, asOf time.Duration)
}

// fleetDescriptors is how many a fleet may hold: listeners, the log, connections to and from other poolers.
const fleetDescriptors = 48

// listDuty plays the fleet's list duty for a watcher: the decisions are duty.Lists'. It runs on the watcher's loop.
type listDuty struct {
	loop    *routing.Loop
	watcher *watcher
	core    *routing.Core
	fleet   Fleet
	lists   duty.Lists
	log     zerolog.Logger
	shared  bool // config.Fleet.SharedAddresses
	build   string
	digest  string
	holder  string // this process, in the journal
	journal *journal
	ready   func(bool)     // tells the operators' door
	shut    bool           // takes no writes
	left    bool           // it has ended its part: what follows is the drain
	token   uint64         // of the lease held when the journal was told last; 0: none
	last    duty.Word      // the last word told
	list    discovery.List // the whole list as last told, by whomever
	timer   *routing.Timer
	late    *routing.Timer // of a fetch
}

// joinFleet has the watcher take part in the list duty. It must be called before the loop runs.
func joinFleet(w *watcher, core *routing.Core, cfg *config.Config, part *FleetPart, ready func(bool), log zerolog.Logger) (*listDuty, error) {
	fc := part.Config
	d := &listDuty{loop: w.loop, watcher: w, core: core, log: log.With().Str("part", "fleet").Logger(), shared: fc.SharedAddresses, build: part.Build, ready: ready,
		digest: cfg.Digest, list: discovery.List{Complete: true, Revision: cfg.Known.Revision, Members: cfg.Known.Members},
		lists: duty.Lists{Name: fc.Name, Term: fc.Term, Drift: fc.Drift, Bound: fc.Bound, Spread: float64(cfg.Seed%1024) / 1024, Fleet: max(cfg.Settings.Balancers, 1)}}
	journal, err := openJournal(fc.Journal, d.log)
	if err != nil {
		return nil, err
	}
	d.journal, d.holder = journal, fmt.Sprintf("%s/%d", fc.Name, os.Getpid())
	fleet, err := part.Open(FleetEvents{
		Word:   func(word duty.Word, least string) { d.loop.Post(func() { d.heard(word, least) }) },
		Wanted: func(from string) { d.loop.Post(func() { d.wanted(from) }) },
		List:   func(word duty.Word, list []byte) { d.loop.Post(func() { d.took(word, list) }) },
		Lost:   func(group int) { d.loop.Post(func() { d.core.Suspect(group) }) },
		Found: func(token uint64, group int, server string, asOf time.Duration) {
			d.loop.Post(func() { d.told(token, group, server, asOf) })
		},
	})
	if err != nil {
		journal.close()
		return nil, err
	}
	d.fleet, w.duty = fleet, d
	if w.pushed { // else the module asks
		w.loop.After(0, d.want)
	}
	core.OnPrimary(d.primary)
	d.note(audit.Record{Act: audit.Started})
	w.loop.After(0, func() { d.bar(fc.LeastBuild) })
	return d, nil
}

// close ends the pooler's part, after the loop has ended.
func (d *listDuty) close() {
	d.fleet.Close()
	d.journal.close()
}

// note writes an act down, with the versions that it was done on.
func (d *listDuty) note(r audit.Record) {
	if d.left {
		return
	}
	r.At, r.Instance, r.Build, r.Config, r.Revision = int64(d.loop.Now()), d.holder, d.build, d.digest, d.list.Revision
	d.journal.note(r)
}

// retune takes over a configuration under way.
func (d *listDuty) retune(cfg *config.Config) {
	if d.digest != cfg.Digest {
		d.digest = cfg.Digest
		d.note(audit.Record{Act: audit.ConfigTaken})
		d.carry(duty.Do{})
	}
}

// primary takes in news of a group's primary.
func (d *listDuty) primary(kind rules.NewsKind, group int, server string, asOf time.Duration) {
	switch kind {
	case rules.PrimaryFound:
		d.note(audit.Record{Act: audit.PrimaryTaken, Group: group, Server: server})
		if server != "" { // else its name was forgotten meanwhile
			d.found(group, server, asOf)
		}
	case rules.PrimaryListed:
		d.note(audit.Record{Act: audit.PrimaryTaken, Group: group, Server: server})
	case rules.PrimaryLost:
		d.note(audit.Record{Act: audit.PrimaryLeft, Group: group, Server: server})
		if w := d.lists.Have(); w.Source != "" && w.Source != d.lists.Name {
			d.fleet.Report(w.Source, group)
		}
	case rules.PrimaryUnknown:
		d.found(group, "", asOf)
	}
}

// found takes in that this pooler has found a group's primary by itself, or that a round of it has found none (""). The
// holder tells the others.
func (d *listDuty) found(group int, server string, asOf time.Duration) {
	began := d.loop.Now()
	token, ok := d.lists.Token(began)
	if !ok {
		return
	}
	level := zerolog.InfoLevel
	if server == "" {
		level = zerolog.DebugLevel
	}
	d.fleet.TellFound(token, group, server, asOf, d.lists.Until()-began, func(all bool) {
		d.acted(level, "primary: told", token, began, all, func(e *zerolog.Event) { e.Int("group", group).Str("server", server) })
	})
}

// told takes in what the holder found of a group.
func (d *listDuty) told(token uint64, group int, server string, asOf time.Duration) {
	now := d.loop.Now()
	do, ok := d.lists.Act(now, token)
	if ok {
		d.core.Told(group, server, min(asOf, now))
	} else {
		d.log.Warn().Uint64("token", token).Str("server", server).Msg("primary: refused, a newer holder was heard")
	}
	d.carry(do)
}

func (d *listDuty) want()   { d.carry(d.lists.Want(d.loop.Now())) }
func (d *listDuty) failed() { d.carry(d.lists.Failed(d.loop.Now())) }

// own takes in what the own watch has brought.
func (d *listDuty) own(l discovery.List) {
	d.list = d.list.With(l)
	do := d.lists.Own(d.loop.Now())
	if have := d.lists.Have(); do.Tell.Token == 0 { // else it is noted as handed on
		d.note(audit.Record{Act: audit.ListTaken, Token: have.Token, Seq: have.Seq})
	}
	d.carry(do)
}

func (d *listDuty) heard(w duty.Word, least string) {
	do, refused := d.lists.Heard(d.loop.Now(), w)
	if refused {
		d.log.Warn().Uint64("token", w.Token).Uint64("seq", w.Seq).Str("holder", w.Holder).Msg("word: refused, a newer one was heard")
		d.note(audit.Record{Act: audit.Refused, Token: w.Token, Seq: w.Seq})
	}
	d.carry(do)
	if !refused {
		d.bar(least)
	}
}

// bar gives the duties up where this build is below the least that is allowed.
func (d *listDuty) bar(least string) {
	d.carry(d.lists.Bar(d.loop.Now(), least != "" && semver.Compare(d.build, least) < 0))
}

// wanted sends another pooler the list here, if it is one that was handed on.
func (d *listDuty) wanted(from string) {
	if w := d.lists.Have(); w.Seq > 0 {
		d.fleet.Give(from, w, d.list.Format())
	}
}

// took takes in a list that was handed on: whole, or not at all.
func (d *listDuty) took(w duty.Word, text []byte) {
	d.late.Stop()
	now := d.loop.Now()
	list, err := discovery.ParseList(text)
	if err == nil && !d.shared {
		var known bool
		if list, known = list.At(d.list); !known { // a server that was never seen from here: its address here is asked for
			d.carry(d.lists.Blind(now))
			return
		}
	}
	if err != nil || !list.Complete {
		d.log.Error().Err(err).Str("from", w.Source).Msg("list: what was handed on can't be used")
		d.carry(d.lists.FetchFailed(now))
		return
	}
	do, ok := d.lists.Took(now, w)
	if ok {
		d.list, d.watcher.since = list, 0
		d.watcher.list(rules.ListFull, members(list, d.watcher.zones), now)
		d.log.Info().Uint64("token", w.Token).Uint64("seq", w.Seq).Str("holder", w.Holder).Int64("at_ns", int64(now)).
			Uint64("revision", list.Revision).Int("servers", len(list.Members)).Msg("list: taken from the fleet")
		d.note(audit.Record{Act: audit.ListTaken, Token: w.Token, Seq: w.Seq})
	} else {
		d.log.Warn().Uint64("token", w.Token).Uint64("seq", w.Seq).Str("holder", w.Holder).Msg("list: not newer than the one in force")
	}
	d.carry(do)
}

// carry carries out what was decided.
func (d *listDuty) carry(do duty.Do) {
	now := d.loop.Now()
	if do.Close && !d.watcher.pushed {
		d.watcher.shut()
		d.log.Info().Msg("list service: left to the holder")
	}
	if do.Release {
		d.fleet.Release()
	}
	if do.Open {
		token, holds := d.lists.Token(now)
		d.log.Info().Bool("holder", holds).Uint64("token", token).Msg("list service: called")
		d.watcher.open()
	}
	if do.Ask {
		d.fleet.Acquire(func(g lease.Grant, ok bool, err error) { d.loop.Post(func() { d.answer(g, ok, err) }) })
	}
	if do.Tell.Token > 0 {
		// The token is looked at once more, right before the act: the loop may have been late.
		began := d.loop.Now()
		if token, ok := d.lists.Token(began); ok && token == do.Tell.Token {
			level := zerolog.DebugLevel // the same word again, so that the others hear of a holder
			if do.Tell != d.last {
				level = zerolog.InfoLevel
				d.note(audit.Record{Act: audit.HandedOn, Token: do.Tell.Token, Seq: do.Tell.Seq})
			}
			d.last = do.Tell
			d.fleet.Tell(do.Tell, d.lists.Until()-began, func(all bool) {
				d.acted(level, "list: handed on", token, began, all, func(e *zerolog.Event) { e.Uint64("seq", do.Tell.Seq).Str("holder", do.Tell.Holder) })
			})
		}
	}
	if do.Fetch.Seq > 0 && d.watcher.pushed { // the own agent has whatever counts as told here: nobody's list goes before it
		d.loop.Post(func() { d.carry(d.lists.Own(d.loop.Now())) })
	} else if do.Fetch.Seq > 0 {
		d.fleet.Fetch(do.Fetch)
		d.late = d.loop.After(d.lists.Term/2, func() { d.carry(d.lists.FetchFailed(d.loop.Now())) })
	}
	d.fleet.Show(d.lists.Have(), d.build, d.digest)
	d.timer.Stop()
	now = d.loop.Now()
	d.shutOut(d.lists.ShutOut(now))
	token, holds := d.lists.Token(now)
	d.core.ForAll(holds)
	if token != d.token {
		if d.token > 0 {
			d.note(audit.Record{Act: audit.LeaseLost, Token: d.token})
		}
		if token > 0 {
			d.note(audit.Record{Act: audit.LeaseHeld, Token: token})
		}
		d.token = token
	}
	d.timer = d.loop.After(max(d.lists.Due(now)-now, time.Millisecond), func() { d.carry(d.lists.Timer(d.loop.Now())) })
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

// acted logs an act of the holder's once it is over, with its beginning and end and whether it reached all.
func (d *listDuty) acted(level zerolog.Level, what string, token uint64, began time.Duration, all bool, more func(*zerolog.Event)) {
	e := d.log.WithLevel(level).Uint64("token", token).Int64("began_ns", int64(began)).Int64("ended_ns", int64(d.loop.Now())).Bool("all", all)
	more(e)
	e.Msg(what)
}

func (d *listDuty) answer(g lease.Grant, ok bool, err error) {
	now := d.loop.Now()
	_, had := d.lists.Token(now)
	do := d.lists.Answer(now, g, ok, err)
	switch token, has := d.lists.Token(now); {
	case err != nil:
		d.log.Warn().Err(err).Msg("lease: the stewards decide nothing")
	case has:
		level := zerolog.DebugLevel
		if !had {
			level = zerolog.InfoLevel
		}
		d.log.WithLevel(level).Uint64("token", token).Str("holder", g.Holder).Bool("renewed", had).Int64("at_ns", int64(now)).
			Int64("until_ns", int64(d.lists.Until())).Msg("lease: held")
	}
	d.carry(do)
}

// leave ends the pooler's part: another may act at once.
func (d *listDuty) leave() {
	d.carry(d.lists.Leave(d.loop.Now()))
	d.note(audit.Record{Act: audit.Ended})
	d.left = true
}
