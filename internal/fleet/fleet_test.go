package fleet

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// What was asked before the end is answered, and what comes after it does no harm: where a start fails, the loop still runs.
func TestAfterTheEnd(t *testing.T) {
	f, err := Start(Options{Config: &config.Fleet{Name: "a", Listen: "127.0.0.1:0", Stewards: []config.Peer{{Name: "s", Addr: "127.0.0.1:1"}}, Term: 400 * time.Millisecond},
		Log: zerolog.Nop()}, coordination.Events{})
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, maxQueuedLeaseRequests)
	for range 3 {
		f.AcquireLease(func(_ lease.Lease, _ bool, err error) { answered <- err })
	}
	f.Close()
	for range 3 {
		if err := <-answered; err == nil || !errors.Is(err, consensus.ErrNoLeader) {
			t.Errorf("an ask without stewards ends with %v", err)
		}
	}
	for range 2 * maxQueuedAnnouncements {
		f.Announce(discoveryleader.Announcement{Token: 1}, time.Minute, func(bool) {})
		f.AcquireLease(func(lease.Lease, bool, error) {})
	}
}

// failing is a part that the pooler must not serve without.
type failing struct{}

func (failing) Run(ctx context.Context, g Runtime) error {
	g.Audit(audit.Record{Act: audit.ReplicaSaved})
	return errors.New("broken")
}

// A part's end is told; and documents are written and read, and a duty is won, through a steward of this process, whose copy shows
// them and keeps them on its disk.
func TestGround(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	failed, acts, dir := make(chan error, 1), make(chan audit.Record, 9), t.TempDir()
	grounds := make(chan Runtime, 1)
	c := &config.Fleet{Name: "a", Listen: "127.0.0.1:0", Stewards: []config.Peer{{Name: "a", Addr: addr}}, Term: 900 * time.Millisecond,
		Drift: 30 * time.Millisecond, Election: 300 * time.Millisecond, Steward: config.StewardPart{Listen: addr, Dir: t.TempDir()}, Shared: config.SharedPart{Dir: dir}}
	f, err := Start(Options{Config: c, Components: []Component{failing{}, running(grounds)}, Log: zerolog.Nop()},
		coordination.Events{Failed: func(err error) { failed <- err }, Audit: func(r audit.Record) { acts <- r }})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := <-failed; err == nil || (<-acts).Act != audit.ReplicaSaved {
		t.Error(err)
	}
	g, ctx := <-grounds, t.Context()
	tenure := g.Campaign(ctx, "d")
	changed, version := g.View.Changed(), uint64(0)
	for version == 0 { // a slow disk may cost the lease, or the answer to a write that is taken
		news := tenure.Changed()
		if token, _, ok := tenure.Token(); !ok {
			<-news
		} else if version, err = g.Store.Put(ctx, "p/a", 0, []byte("x"), replication.Fence{Lease: "d", Token: token}); err != nil {
			d, _ := g.Store.Read(ctx, "p/a")
			version = d.Version
		}
	}
	<-changed
	if d, err := g.Store.Read(ctx, "p/a"); err != nil || d.Version != version {
		t.Errorf("%+v %v, want version %d", d, err, version)
	}
	for { // on the disk and confirmed, some time
		figures := f.Status()
		if s, _, err := replication.LoadSnapshot(dir); err == nil && s.Version == version && figures.DocumentsVersion == version && figures.DocumentsAge >= 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// running is a part that hands its ground out.
type running chan Runtime

func (r running) Run(ctx context.Context, g Runtime) error {
	r <- g
	<-ctx.Done()
	return nil
}
