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
	trailingLogs      = 256              // entries kept behind a snapshot, for voters that lag
	snapshotThreshold = 1024             // entries: a renewal is one, and the state is small
	snapshotInterval  = 30 * time.Second // how often the number of entries is compared with snapshotThreshold
	dialTimeout       = time.Second
	pooledConnections = 2 // to each other voter
)

// startRaft opens the log and starts the raft engine, which bootstraps the set of voters at its first start.
func (v *Voter) startRaft() error {
	if err := v.openLog(); err != nil {
		return err
	}
	snapshots, err := raft.NewFileSnapshotStore(v.options.Dir, retainedSnapshots, io.Discard)
	if err != nil {
		return err
	}
	config := v.raftConfig()
	known, err := raft.HasExistingState(v.logStore, v.logStore, snapshots)
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
	if !known && !v.options.Join {
		if err := raft.BootstrapCluster(config, v.logStore, v.logStore, snapshots, transport, voters); err != nil {
			return err
		}
	}
	v.raft, err = raft.NewRaft(config, v.state, v.logStore, v.logStore, snapshots, transport)
	return err
}

// openLog opens the store of the log, which Close closes.
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

// initialVoters is the set that the operators' file names. The engine knows voters by name alone; the address at which each is
// reached is this voter's own affair (streamLayer.Dial).
func (v *Voter) initialVoters() (voters raft.Configuration) {
	for _, p := range v.options.Voters {
		voters.Servers = append(voters.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Name)})
		v.streams.setAddress(p)
	}
	return voters
}

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

// logWriter logs the engine's lines, one a write.
type logWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Warn().Msg(string(b[:max(len(b)-1, 0)]))
	return len(b), nil
}
