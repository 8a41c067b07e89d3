package pooler

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/archive"
	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/admin"
	"threadsail/internal/protocol/inventory"
	"threadsail/internal/routes"
	"threadsail/internal/serverlist"
	"threadsail/internal/watchfile"
)

// startReadInterval is the time between the reads of a file at the start, when no list in force tells what a cut would take away.
const startReadInterval = 20 * time.Millisecond

// listFormat is what lists say differently for the two kinds of servers.
type listFormat struct {
	name         string
	defaultPort  int    // of a server that names none
	portVariable string // in Ansible's inventories
}

var (
	postgresFormat = listFormat{"postgres", 5432, "postgresql_port"}
	mysqlFormat    = listFormat{"mysql", 3306, "mysql_port"}
)

// serverSource is where a front has its servers from: a list service, or a file.
type serverSource struct {
	watcher     *watcher // of a list service; nil: a file
	fileWatcher *fileWatcher
}

// adjustSettings are the module's where a file names the servers: nobody is asked for the list, and what leaves it is gone.
func (s *serverSource) adjustSettings(set policy.Settings) policy.Settings {
	if s.fileWatcher != nil {
		set.PollList, set.IgnoreRemoval = false, false
	}
	return set
}

// openWatch opens the watch on a list service.
func (s *serverSource) openWatch() {
	if s.watcher != nil {
		s.watcher.openWatch()
	}
}

// start gives the core its first list.
func (s *serverSource) start(cfg *config.Config, core *dispatch.Dispatcher) error {
	if s.watcher != nil {
		w := s.watcher
		w.onList = core.ApplyListNotifiedAt
		if w.pushed && w.fetchFirst(cfg.Settings.DrainGracePeriod, core.ApplyListNotifiedAt) {
			w.open()
			return nil
		}
		if !w.pushed {
			w.knownUntil = w.loop.Now() // asked lists bind a process some time after its start
		}
		var known []dispatch.Member
		if s.watcher.addr == cfg.Discovery { // another service's servers are not those that the configuration knows
			known = listedMembers(cfg.Known, s.watcher.zoneIndexes)
			s.watcher.revision = cfg.Known.Revision
		}
		core.ApplyList(policy.ListCached, known)
		if w.pushed {
			w.open()
		}
		return nil
	}
	return s.fileWatcher.start(cfg.Lists, core)
}

// sourceDescriptors is how many it holds: neither clients nor servers can take them.
func sourceDescriptors(src config.ListSource) int {
	if src.File == "" {
		return watchDescriptors
	}
	return watchfile.Descriptors
}

// applyConfig turns to what a new configuration names. From a list service to a file, or back, is for the next start.
func (s *serverSource) applyConfig(cfg *config.Config, src config.ListSource) {
	switch {
	case s.watcher != nil && src.File == "":
		s.watcher.setAddress(src.Discovery)
		s.watcher.setPushed(!cfg.Settings.PollList)
	case s.fileWatcher != nil && src.File != "":
		s.fileWatcher.applyConfig(cfg.Lists, src.File)
	default:
		if s.fileWatcher != nil {
			s.fileWatcher.log.Warn().Msg("reload: a list service in place of a file holds from the next start on")
		} else {
			s.watcher.log("reload: a file in place of the list service holds from the next start on")
		}
	}
}

func (s *serverSource) close() {
	if s.fileWatcher != nil {
		s.fileWatcher.close()
	}
}

func newServerSource(cfg *config.Config, src config.ListSource, w listFormat, table *routes.Table, loop *dispatch.EventLoop, log zerolog.Logger) *serverSource {
	if src.File == "" {
		return &serverSource{watcher: &watcher{loop: loop, dial: newWatchDialer(loop), addr: src.Discovery, log: messageLogger(log), zoneIndexes: zoneIndexes(cfg),
			pushed: !cfg.Settings.PollList}}
	}
	return &serverSource{fileWatcher: &fileWatcher{format: w, path: src.File, zoneNames: cfg.Zones, zoneIndexes: zoneIndexes(cfg), routes: table, log: log, loop: loop, metrics: admin.ListStatus{Front: w.name},
		commands: make(chan func(), 16), quit: make(chan struct{}), done: make(chan struct{})}}
}

// postgresSource and mysqlSource say where the fronts have their lists from.
func postgresSource(cfg *config.Config) config.ListSource {
	if src := cfg.Lists.Postgres; src != (config.ListSource{}) {
		return src
	}
	return config.ListSource{Discovery: cfg.Discovery}
}

func mysqlSource(cfg *config.Config, my *config.MySQL) config.ListSource {
	if src := cfg.Lists.MySQL; src != (config.ListSource{}) {
		return src
	}
	return config.ListSource{File: my.Inventory}
}

// List is what a file lists, and what vouches for it.
type List struct {
	Servers         []serverlist.Server // by name
	Sealed          bool
	Terminated      bool   // its last line has an end
	ConfirmedDigest string // digest of the list that whoever sealed it has compared it with
}

func formatOf(name string) listFormat {
	if name == postgresFormat.name {
		return postgresFormat
	}
	return mysqlFormat
}

// ReadList reads and checks a file as the front of a wire, "mysql" or "postgres", would. rooms nil: any will do.
func ReadList(wire, path string, rooms []string) (*List, error) {
	st := watchfile.Read(path, inventory.MaxBytes)
	if st.Err != nil {
		return nil, st.Err
	}
	return ParseList(wire, path, rooms, st.Text)
}

// ParseList is ReadList for a text that has been read.
func ParseList(wire, path string, rooms []string, text []byte) (*List, error) {
	w := formatOf(wire)
	form, err := inventory.FormOf(path)
	if err != nil {
		return nil, err
	}
	f, err := inventory.Parse(form, w.portVariable, text)
	if err != nil {
		return nil, err
	}
	l := &List{Terminated: f.Ended}
	if l.Servers, err = serverlist.Check(f.Rows, serverlist.Limits{Port: w.defaultPort, Rooms: rooms}); err != nil {
		return nil, err
	}
	if f.Seal != nil {
		l.Sealed, l.ConfirmedDigest = true, f.Seal.Confirms
	}
	return l, nil
}

// FormatList writes a list down in the form that the path's ending tells.
func FormatList(wire, path string, servers []serverlist.Server) ([]byte, error) {
	form, err := inventory.FormOf(path)
	if err != nil {
		return nil, err
	}
	return inventory.Format(form, formatOf(wire).portVariable, servers)
}

// candidate is what a watched file holds, for the gate.
func candidate(w listFormat, path string, rooms []string, st watchfile.State) serverlist.Candidate {
	c := serverlist.Candidate{Source: path, Content: st.Content, Err: st.Err}
	if c.Err != nil {
		return c
	}
	l, err := ParseList(w.name, path, rooms, st.Text)
	if err != nil {
		c.Err = err
		return c
	}
	c.Servers, c.Sealed, c.Ended, c.Confirms = l.Servers, l.Sealed, l.Terminated, l.ConfirmedDigest
	return c
}

// fileWatcher keeps a front's list as a file names it. It runs on a goroutine of its own, so that no reading, checking or
// writing keeps a loop from its requests; the loop gets what has changed, in the order of the changes.
type fileWatcher struct {
	format      listFormat
	path        string
	zoneNames   []string
	zoneIndexes map[string]int
	log         zerolog.Logger
	loop        *dispatch.EventLoop
	dispatcher  *dispatch.Dispatcher
	routes      *routes.Table // what the servers speak; it belongs to the loop
	gate        *serverlist.Gate
	archive     *archive.Archive // nil: none
	watcher     *watchfile.Watcher
	commands    chan func()
	quit        chan struct{}
	done        chan struct{}
	metrics     admin.ListStatus
	published   atomic.Pointer[admin.ListStatus] // counts, for the operators' door
}

// start reads the file, or the generation kept last where the file is of no use, and hands the core its first list. With
// neither it fails.
func (k *fileWatcher) start(lists *config.Lists, core *dispatch.Dispatcher) error {
	k.dispatcher = core
	var history []*serverlist.Generation
	if lists.State != "" {
		a, err := archive.Open(filepath.Join(lists.State, k.format.name), lists.Policy.Keep)
		if err != nil {
			return fmt.Errorf("state: %w", err)
		}
		if history, err = a.Load(); err != nil {
			k.log.Warn().Err(err).Msg("list: some kept generations can't be used")
		}
		k.archive = a
	}
	k.gate = serverlist.NewGate(lists.Policy, history...)
	st := watchfile.Steady(k.path, inventory.MaxBytes, startReadInterval)
	d := k.gate.Offer(k.loop.Now(), candidate(k.format, k.path, k.zoneNames, st))
	cur := k.gate.Current()
	if cur == nil {
		return fmt.Errorf("%s: %s", k.path, d.Reason)
	}
	if d.Verdict != serverlist.Taken {
		k.log.Info().Uint64("generation", cur.Number).Dur("age_ms", k.loop.Now()-cur.Taken).Msg("list: serving from the kept generation")
	}
	k.updateRoutes(cur.Servers, nil)
	core.ApplyList(policy.ListFull, k.listMembers(cur.Servers, nil))
	k.record(d)
	k.startWatching(lists, st)
	go k.run()
	return nil
}

func (k *fileWatcher) startWatching(lists *config.Lists, known watchfile.State) {
	path := k.path
	states := func(st watchfile.State) {
		select {
		case k.commands <- func() { k.offer(path, st) }:
		case <-k.quit:
		}
	}
	k.watcher = watchfile.Watch(watchfile.Options{Path: k.path, Poll: lists.Poll, Max: inventory.MaxBytes,
		Log: messageLogger(k.log)}, known, states)
}

func (k *fileWatcher) run() {
	defer close(k.done)
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	for {
		wait := time.Hour
		if at := k.gate.Due(); at > 0 {
			wait = max(at-k.loop.Now(), 0)
		}
		due.Reset(wait)
		select {
		case <-k.quit:
			return
		case f := <-k.commands:
			f()
		case <-due.C:
			k.carryOut(k.gate.Timer(k.loop.Now()))
		}
	}
}

// offer offers what a file holds. Of a file that the keeper has left for another nothing is heard.
func (k *fileWatcher) offer(path string, st watchfile.State) {
	if path != k.path {
		return
	}
	k.carryOut(k.gate.Offer(k.loop.Now(), candidate(k.format, k.path, k.zoneNames, st)))
}

// carryOut carries out what the gate has decided.
func (k *fileWatcher) carryOut(d serverlist.Decision) {
	if d.Verdict == serverlist.Idle {
		return
	}
	if d.Verdict == serverlist.Taken { // before it is kept: a slow disk must not keep the loop on the old list
		listed, gone := d.Diff.Listed(), d.Diff.Gone()
		list := k.listMembers(listed, gone)
		k.loop.Post(func() {
			k.updateRoutes(listed, gone)
			k.dispatcher.ApplyList(policy.ListDelta, list)
		})
	}
	k.record(d)
}

// record tells operators of a decision, and keeps a generation that has come into force.
func (k *fileWatcher) record(d serverlist.Decision) {
	log := k.log.With().Str("file", k.path).Logger()
	switch d.Verdict {
	case serverlist.Taken:
		k.metrics.Taken++
		log.Info().Uint64("generation", d.Generation.Number).Str("digest", d.Generation.Digest).Bool("sealed", d.Generation.Sealed).
			Int("servers", len(d.Generation.Servers)).Str("change", d.Diff.String()).Msg("list: taken")
		if k.archive != nil {
			if err := k.archive.Put(d.Generation); err != nil {
				log.Error().Err(err).Uint64("generation", d.Generation.Number).Msg("list: the generation can't be kept")
			}
		}
	case serverlist.Held:
		k.metrics.Held++
		e := log.Warn().Str("cause", d.Reason).Str("change", d.Diff.String())
		if d.Until > 0 {
			e.Dur("taken_in_ms", d.Until-k.loop.Now()).Msg("list: held; the old one stands until this one has stood unchanged")
		} else {
			e.Str("confirm", k.gate.Current().Digest).Msg("list: held until it is confirmed; the old one stands")
		}
	case serverlist.TurnedDown:
		k.metrics.Rejected++
		log.Error().Str("cause", d.Reason).Msg("list: turned down; the old one stands")
	case serverlist.Withdrawn:
		log.Warn().Str("cause", d.Reason).Msg("list: what was held is withdrawn")
	}
	_, k.metrics.Holding = k.gate.Holding()
	if cur := k.gate.Current(); cur != nil {
		k.metrics.Generation = cur.Number
	}
	shown := k.metrics
	k.published.Store(&shown)
}

// applyConfig takes over another policy, file or pace. It is called on the loop, and waits for nothing.
func (k *fileWatcher) applyConfig(lists *config.Lists, path string) {
	order := func() {
		k.carryOut(k.gate.Retune(k.loop.Now(), lists.Policy))
		// The watcher may be about to deliver; it must not wait for this goroutine while that waits for it.
		old := k.watcher
		go old.Close()
		k.path = path
		k.startWatching(lists, watchfile.State{})
	}
	select {
	case k.commands <- order:
	default:
		k.log.Error().Msg("reload: too many changes of the list are under way; send SIGHUP again")
	}
}

func (k *fileWatcher) close() {
	close(k.quit)
	<-k.done
	k.watcher.Close()
}

// updateRoutes notes down which wire and version servers speak, before the core hears of them.
func (k *fileWatcher) updateRoutes(listed, gone []serverlist.Server) {
	for _, s := range gone {
		k.routes.Drop(s.Key())
	}
	for _, s := range listed {
		var t routes.Target
		t.Wire, _ = routes.ParseWire(s.Wire, k.routes.Front())
		t.Version, _ = routes.ParseVersion(s.Version) // both were checked with the list
		k.routes.Add(s.Key(), s.Addr, s.Cluster, t)
	}
}

// listMembers puts servers into the core's words.
func (k *fileWatcher) listMembers(listed, gone []serverlist.Server) []dispatch.Member {
	out := make([]dispatch.Member, 0, len(listed)+len(gone))
	for _, s := range gone {
		out = append(out, dispatch.Member{Name: s.Key(), State: policy.Removed})
	}
	for _, s := range listed {
		zone, ok := k.zoneIndexes[s.Room]
		if !ok {
			zone = -1 // none of ours
		}
		weight := s.Weight
		if weight == 0 {
			weight = policy.NoReads
		}
		out = append(out, dispatch.Member{Name: s.Key(), Addr: s.Addr, Zone: zone, Group: s.Cluster, State: s.State, Weight: weight})
	}
	return out
}

// CheckLists reads the files that name the servers, as the fronts would, and tells what is wrong with them.
func CheckLists(cfg *config.Config, my *config.MySQL) error {
	sources := map[string]config.ListSource{postgresFormat.name: postgresSource(cfg)}
	if my != nil {
		sources[mysqlFormat.name] = mysqlSource(cfg, my)
	}
	for wire, src := range sources {
		if src.File == "" {
			continue
		}
		l, err := ReadList(wire, src.File, cfg.Zones)
		if err == nil && len(l.Servers) == 0 {
			err = errors.New("no server is listed")
		}
		if err != nil {
			return fmt.Errorf("%s: %w", src.File, err)
		}
	}
	return nil
}
