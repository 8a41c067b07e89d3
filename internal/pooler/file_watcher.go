package pooler

import (
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

const (
	// startReadInterval is the time between the reads of a file at the start, when no list in force tells what a truncated file
	// would remove.
	startReadInterval = 20 * time.Millisecond

	// maxQueuedCommands is how many reads and reloads may wait for the watcher's goroutine.
	maxQueuedCommands = 16

	// noTimerDue is how long the watcher waits where the gate has nothing due.
	noTimerDue = time.Hour
)

// fileWatcher keeps a worker's list as a file names it. It runs on a goroutine of its own, from start to close, so that no
// reading, checking or writing keeps the worker's loop from its requests; the loop gets what has changed, in the order of the
// changes. Which contents come into force is decided by the gate.
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
	archive     *archive.Archive // nil: generations are not kept
	watcher     *watchfile.Watcher
	commands    chan func()
	quit        chan struct{} // closed: the goroutine is to end
	done        chan struct{} // closed: the goroutine has ended
	metrics     admin.ListStatus
	published   atomic.Pointer[admin.ListStatus] // a copy of metrics, for the admin server's goroutine
}

// start reads the file, or takes the generation kept last where the file is of no use, and hands the dispatcher its first list.
// With neither it fails.
func (k *fileWatcher) start(lists *config.ServerLists, dispatcher *dispatch.Dispatcher) error {
	k.dispatcher = dispatcher
	history, err := k.openArchive(lists)
	if err != nil {
		return err
	}
	k.gate = serverlist.NewGate(lists.Policy, history...)
	state := watchfile.ReadStable(k.path, inventory.MaxBytes, startReadInterval)
	decision := k.gate.Offer(k.loop.Now(), k.candidate(state))
	current := k.gate.Current()
	if current == nil {
		return fmt.Errorf("%s: %s", k.path, decision.Reason)
	}
	if decision.Outcome != serverlist.Accepted {
		k.log.Info().Uint64("generation", current.Number).Dur("age_ms", k.loop.Now()-current.AcceptedAt).Msg("list: serving from the kept generation")
	}
	k.updateRoutes(current.Servers, nil)
	dispatcher.ApplyList(policy.ListFull, k.listMembers(current.Servers, nil))
	k.record(decision)
	k.startWatching(lists, state)
	go k.run()
	return nil
}

// openArchive opens the folder of kept generations, if there is one, and returns those that can be used.
func (k *fileWatcher) openArchive(lists *config.ServerLists) ([]*serverlist.Generation, error) {
	if lists.ArchiveDir == "" {
		return nil, nil
	}
	kept, err := archive.Open(filepath.Join(lists.ArchiveDir, k.format.name), lists.Policy.MaxGenerations)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	k.archive = kept
	history, err := kept.Load()
	if err != nil {
		k.log.Warn().Err(err).Msg("list: some kept generations can't be used")
	}
	return history, nil
}

// startWatching has each new state of the file offered on the watcher's goroutine. known is the state that was offered last.
func (k *fileWatcher) startWatching(lists *config.ServerLists, known watchfile.State) {
	path := k.path
	onState := func(state watchfile.State) {
		select {
		case k.commands <- func() { k.offer(path, state) }:
		case <-k.quit:
		}
	}
	options := watchfile.Options{Path: path, PollInterval: lists.PollInterval, MaxBytes: inventory.MaxBytes, Log: messageLogger(k.log)}
	k.watcher = watchfile.Watch(options, known, onState)
}

// run carries out the commands and the gate's timers until close.
func (k *fileWatcher) run() {
	defer close(k.done)
	timer := time.NewTimer(noTimerDue)
	defer timer.Stop()
	for {
		wait := noTimerDue
		if due := k.gate.NextTimer(); due > 0 {
			wait = max(due-k.loop.Now(), 0)
		}
		timer.Reset(wait)
		select {
		case <-k.quit:
			return
		case command := <-k.commands:
			command()
		case <-timer.C:
			k.carryOut(k.gate.HandleTimer(k.loop.Now()))
		}
	}
}

// close ends the watcher's goroutine and waits for it.
func (k *fileWatcher) close() {
	close(k.quit)
	<-k.done
	k.watcher.Close()
}

// applyConfig puts another policy, path or polling interval in force. It is called on the loop, and waits for nothing.
func (k *fileWatcher) applyConfig(lists *config.ServerLists, path string) {
	command := func() {
		k.carryOut(k.gate.SetPolicy(k.loop.Now(), lists.Policy))
		// The old watcher may be about to deliver a state: it must not wait for this goroutine while this one waits for its end.
		go k.watcher.Close()
		k.path = path
		k.startWatching(lists, watchfile.State{})
	}
	select {
	case k.commands <- command:
	default:
		k.log.Error().Msg("reload: too many changes of the list are under way; send SIGHUP again")
	}
}

// offer offers what a file holds to the gate, unless the watcher has turned to another file.
func (k *fileWatcher) offer(path string, state watchfile.State) {
	if path != k.path {
		return
	}
	k.carryOut(k.gate.Offer(k.loop.Now(), k.candidate(state)))
}

// candidate returns what the file holds, checked, or why it can't be used.
func (k *fileWatcher) candidate(state watchfile.State) serverlist.Candidate {
	candidate := serverlist.Candidate{Source: k.path, ContentHash: state.ContentHash, Err: state.Err}
	if candidate.Err != nil {
		return candidate
	}
	list, err := ParseList(k.format.name, k.path, k.zoneNames, state.Text)
	if err != nil {
		candidate.Err = err
		return candidate
	}
	candidate.Servers = list.Servers
	candidate.Sealed = list.Sealed
	candidate.Truncation = list.Truncation
	candidate.Confirms = list.ConfirmedDigest
	return candidate
}

// carryOut carries out what the gate has decided. The dispatcher gets a new list before it is kept on disk: a slow disk must not
// keep the loop on the old list.
func (k *fileWatcher) carryOut(decision serverlist.Decision) {
	if decision.Outcome == serverlist.Idle {
		return
	}
	if decision.Outcome == serverlist.Accepted {
		listed, removed := decision.Diff.NewOrChanged(), decision.Diff.RemovedServers()
		members := k.listMembers(listed, removed)
		k.loop.Post(func() {
			k.updateRoutes(listed, removed)
			k.dispatcher.ApplyList(policy.ListDelta, members)
		})
	}
	k.record(decision)
}

// record logs and counts a decision, and keeps a generation that has come into force.
func (k *fileWatcher) record(decision serverlist.Decision) {
	log := k.log.With().Str("file", k.path).Logger()
	switch decision.Outcome {
	case serverlist.Accepted:
		k.metrics.Taken++
		k.recordTaken(log, decision)
	case serverlist.Held:
		k.metrics.Held++
		k.recordHeld(log, decision)
	case serverlist.Rejected:
		k.metrics.Rejected++
		log.Error().Str("cause", decision.Reason).Msg("list: turned down; the old one stands")
	case serverlist.Withdrawn:
		log.Warn().Str("cause", decision.Reason).Msg("list: what was held is withdrawn")
	}
	k.publish()
}

func (k *fileWatcher) recordTaken(log zerolog.Logger, decision serverlist.Decision) {
	generation := decision.Generation
	log.Info().Uint64("generation", generation.Number).Str("digest", generation.Digest).Bool("sealed", generation.Sealed).
		Int("servers", len(generation.Servers)).Str("change", decision.Diff.String()).Msg("list: taken")
	if k.archive == nil {
		return
	}
	if err := k.archive.Put(generation); err != nil {
		log.Error().Err(err).Uint64("generation", generation.Number).Msg("list: the generation can't be kept")
	}
}

func (k *fileWatcher) recordHeld(log zerolog.Logger, decision serverlist.Decision) {
	event := log.Warn().Str("cause", decision.Reason).Str("change", decision.Diff.String())
	if decision.AcceptAt > 0 {
		event.Dur("taken_in_ms", decision.AcceptAt-k.loop.Now()).Msg("list: held; the old one stands until this one has stood unchanged")
		return
	}
	if decision.AwaitsSeal {
		event.Msg("list: held until it is complete or sealed; the old one stands")
		return
	}
	event.Str("confirm", k.gate.Current().Digest).Msg("list: held until it is confirmed; the old one stands")
}

// publish shows the metrics to the admin server's goroutine.
func (k *fileWatcher) publish() {
	_, k.metrics.Holding = k.gate.Pending()
	if current := k.gate.Current(); current != nil {
		k.metrics.Generation = current.Number
	}
	published := k.metrics
	k.published.Store(&published)
}

// updateRoutes enters which protocol and version the listed servers speak, before the dispatcher hears of them. It runs on the loop.
func (k *fileWatcher) updateRoutes(listed, removed []serverlist.Server) {
	for _, server := range removed {
		k.routes.Drop(server.Key())
	}
	for _, server := range listed {
		target := routes.Target{Wire: k.wireOf(server)}
		target.Version, _ = routes.ParseVersion(server.Version) // it was checked with the list
		k.routes.Add(server.Key(), server.Addr, server.Cluster, target)
	}
}

// wireOf returns the protocol that a listed server speaks.
func (k *fileWatcher) wireOf(server serverlist.Server) routes.Wire {
	wire, _ := routes.ParseWire(server.Wire, k.routes.Front()) // it was checked with the list
	return wire
}

// listMembers returns servers as members of the dispatcher's list.
func (k *fileWatcher) listMembers(listed, removed []serverlist.Server) []dispatch.Member {
	members := make([]dispatch.Member, 0, len(listed)+len(removed))
	for _, server := range removed {
		members = append(members, dispatch.Member{Name: server.Key(), State: policy.Removed})
	}
	for _, server := range listed {
		weight := server.Weight
		if weight == 0 {
			weight = policy.NoReads
		}
		members = append(members, dispatch.Member{
			Name:    server.Key(),
			Address: server.Addr,
			Zone:    zoneIndex(k.zoneIndexes, server.Zone),
			Group:   server.Cluster,
			State:   server.State,
			Weight:  weight,

			AnswersStaleReads: k.wireOf(server) == routes.MySQL,
		})
	}
	return members
}
