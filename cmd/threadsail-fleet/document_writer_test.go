package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"threadsail/internal/fleet"
	"threadsail/internal/fleet/replication"
)

// documentWriter is a component that only tests have: every pooler reads and writes one document, the holder of a lease another
// one, and all log what they did and what their replicas show. Where the environment says "copies" it logs only the replica.
type documentWriter struct{}

// The documents that documentWriter writes.
const (
	sharedKey = "writer/all"
	leaderKey = "writer/leader"
)

// writerLease is the lease under which the document at leaderKey is written.
const writerLease = "writer"

// The log lines of documentWriter.
const (
	replicaMessage   = "writer: replica"
	readMessage      = "writer: read"
	putBegunMessage  = "writer: put begun"
	putMessage       = "writer: put"
	leaderPutMessage = "writer: leader's put"
)

// The results of a write.
const (
	resultOK       = "ok"
	resultConflict = "conflict"
	resultFenced   = "fenced"
	resultUnknown  = "unknown" // it may have been applied, or may be yet
)

// documentLine is a line of documentWriter.
type documentLine struct {
	Pooler         int
	Message        string
	From, Value    string
	Result         string
	Version, Token uint64
	Began          int64 `json:"began_ns"`
	Ended          int64 `json:"ended_ns"`
}

// Run implements fleet.Component.
func (w documentWriter) Run(ctx context.Context, r fleet.Runtime) error {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	goroutines.Go(func() { w.logReplica(ctx, r) })
	if os.Getenv("THREADSAIL_TEST_WRITER") == "copies" {
		return nil
	}
	leadership := r.Campaign(ctx, writerLease)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(40+rand.IntN(80)) * time.Millisecond):
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		w.writeShared(call, r)
		if token, _, ok := leadership.Token(); ok {
			w.writeAsLeader(call, r, token)
		}
		cancel()
	}
	return nil
}

// logReplica logs the shared document at each change of the replica, until ctx ends.
func (documentWriter) logReplica(ctx context.Context, r fleet.Runtime) {
	for {
		changed := r.View.Changed()
		d, _ := r.View.Get(sharedKey)
		r.Log.Log().Uint64("version", d.Version).Str("value", string(d.Value)).Int64("began_ns", time.Now().UnixNano()).Msg(replicaMessage)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// writeShared reads the shared document and writes a new value over what it has read.
func (documentWriter) writeShared(ctx context.Context, r fleet.Runtime) {
	began := time.Now().UnixNano()
	d, err := r.Store.Read(ctx, sharedKey)
	if err != nil {
		return
	}
	from := string(d.Value)
	r.Log.Log().Str("from", from).Int64("began_ns", began).Int64("ended_ns", time.Now().UnixNano()).Msg(readMessage)
	value := fmt.Sprint(r.Bus.Self(), "-", began)
	began = time.Now().UnixNano()
	r.Log.Log().Str("from", from).Str("value", value).Int64("began_ns", began).Msg(putBegunMessage)
	version, err := r.Store.Put(ctx, sharedKey, d.Version, []byte(value), replication.Fence{})
	r.Log.Log().Str("from", from).Str("value", value).Uint64("version", version).Str("result", putResult(err)).
		Int64("began_ns", began).Int64("ended_ns", time.Now().UnixNano()).Msg(putMessage)
}

// writeAsLeader writes the leader's document under its token.
func (documentWriter) writeAsLeader(ctx context.Context, r fleet.Runtime, token uint64) {
	d, err := r.Store.Read(ctx, leaderKey)
	if err != nil {
		return
	}
	version, err := r.Store.Put(ctx, leaderKey, d.Version, []byte(r.Bus.Self()), replication.Fence{Lease: writerLease, Token: token})
	r.Log.Log().Uint64("token", token).Uint64("version", version).Str("result", putResult(err)).Msg(leaderPutMessage)
}

func putResult(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, replication.ErrConflict):
		return resultConflict
	case errors.Is(err, replication.ErrFenced):
		return resultFenced
	}
	return resultUnknown
}
