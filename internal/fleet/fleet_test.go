package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/duty"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/steward"
	"threadsail/internal/program"
)

// What was asked before the end is answered, and what comes after it does no harm: where a start fails, the loop still runs.
func TestAfterTheEnd(t *testing.T) {
	f, err := Open(Options{Config: &config.Fleet{Name: "a", Listen: "127.0.0.1:0", Stewards: []config.Peer{{Name: "s", Addr: "127.0.0.1:1"}}, Term: 400 * time.Millisecond},
		Log: zerolog.Nop()}, program.FleetEvents{})
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, queuedAsks)
	for range 3 {
		f.Acquire(func(_ lease.Grant, _ bool, err error) { answered <- err })
	}
	f.Close()
	for range 3 {
		if err := <-answered; err == nil || !errors.Is(err, steward.ErrNoLeader) {
			t.Errorf("an ask without stewards ends with %v", err)
		}
	}
	for range 2 * queuedActs {
		f.Tell(duty.Word{Token: 1}, time.Minute, func(bool) {})
		f.Acquire(func(lease.Grant, bool, error) {})
	}
}
