package consensus

import (
	"io"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
)

const (
	logFileName       = "raft.db"
	retainedSnapshots = 2
	trailingLogs      = 256              // log entries kept after a snapshot, so that a lagging voter needs no snapshot transfer
	snapshotThreshold = 1024             // log entries between snapshots; each lease renewal appends one
	snapshotInterval  = 30 * time.Second // between checks of the log's length against snapshotThreshold
	dialTimeout       = time.Second
	pooledConnections = 2 // per remote voter
)

// startRaft opens the log and starts the raft engine. If there is no state on disk and Options.Join is not set, it bootstraps
// the cluster with Options.Voters.
func (v *Voter) startRaft() error {
	if err := v.openLog(); err != nil {
		return err
	}
	snapshots, err := raft.NewFileSnapshotStore(v.options.Dir, retainedSnapshots, io.Discard)
	if err != nil {
		return err
	}
	config := v.raftConfig()
	hasState, err := raft.HasExistingState(v.logStore, v.logStore, snapshots)
	if err != nil {
		return err
	}
	voters := v.initialVoters()
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  v.streams,
		MaxPool: pooledConnections,
		Timeout: dialTimeout,
		Logger:  config.Logger,
	})
	if !hasState && !v.options.Join {
		if err := raft.BootstrapCluster(config, v.logStore, v.logStore, snapshots, transport, voters); err != nil {
			return err
		}
	}
	v.raft, err = raft.NewRaft(config, v.state, v.logStore, v.logStore, snapshots, transport)
	return err
}

// openLog opens the log store in Options.Dir. Close closes it.
func (v *Voter) openLog() (err error) {
	v.boltStore, err = raftboltdb.NewBoltStore(filepath.Join(v.options.Dir, logFileName))
	if err != nil {
		return err
	}
	v.logStore = &retryingStore{raftStore: v.boltStore, log: v.log, shutdown: v.shutdown}
	if v.options.wrapStore != nil {
		v.logStore.raftStore = v.options.wrapStore(v.boltStore)
	}
	return nil
}

// initialVoters returns the raft configuration with the voters of the operators' file, and registers their addresses. The raft
// engine identifies voters by name only, since the address of a voter may differ from voter to voter; streamLayer.Dial resolves
// names to addresses.
func (v *Voter) initialVoters() (voters raft.Configuration) {
	for _, peer := range v.options.Voters {
		voters.Servers = append(voters.Servers, raft.Server{ID: raft.ServerID(peer.Name), Address: raft.ServerAddress(peer.Name)})
		v.streams.setAddress(peer)
	}
	return voters
}

// raftConfig returns the raft engine's configuration, with all timeouts derived from Options.ElectionTimeout.
func (v *Voter) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(v.options.Name)
	config.HeartbeatTimeout = v.options.ElectionTimeout
	config.ElectionTimeout = v.options.ElectionTimeout
	config.LeaderLeaseTimeout = v.options.ElectionTimeout
	config.CommitTimeout = v.options.ElectionTimeout / 10
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = trailingLogs
	config.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{v.log}, DisableTime: true})
	return config
}

// logWriter is an io.Writer that logs the raft engine's output. Each write holds one line.
type logWriter struct{ log zerolog.Logger }

// Write logs a line at warn level, without its line feed.
func (w logWriter) Write(line []byte) (int, error) {
	w.log.Warn().Msg(string(line[:max(len(line)-1, 0)]))
	return len(line), nil
}
