package pooler

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler/admin"
)

// stubFleet is a fleet of one, which gives the duty to whoever asks.
type stubFleet struct {
	Fleet
	told, closed chan struct{}
}

func (a stubFleet) AcquireLease(done func(lease.Lease, bool, error)) {
	go done(lease.Lease{Token: 1, Holder: "n1", Duration: 300 * time.Millisecond}, true, nil)
}
func (a stubFleet) Announce(_ discoveryleader.Announcement, _ time.Duration, done func(bool)) {
	select {
	case a.told <- struct{}{}:
	default:
	}
	go done(true)
}
func (stubFleet) ReleaseLease()                                          {}
func (stubFleet) ReportPrimaryDown(string, int)                          {}
func (stubFleet) SetStatus(discoveryleader.Announcement, string, string) {}
func (stubFleet) FetchList(discoveryleader.Announcement)                 {}
func (a stubFleet) Status() admin.FleetStatus                            { return admin.FleetStatus{DocumentsVersion: 7} }
func (a stubFleet) Close()                                               { close(a.closed) }
func (stubFleet) AnnouncePrimary(_ uint64, _ int, _ string, _, _ time.Duration, done func(bool)) {
	go done(true)
}

// A hollow pooler takes the list duty, brings the list, hands it on, and ends, though its watch is open.
func TestSimulated(t *testing.T) {
	f := standin.NewFleet(t, false, nil, "db1", "db2")
	cfg, err := config.Load(f.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	a := stubFleet{told: make(chan struct{}, 1), closed: make(chan struct{})}
	h, err := OpenSimulated(cfg, &FleetOptions{Config: &config.Fleet{Name: "n1", LeaseConfig: config.LeaseConfig{Term: 300 * time.Millisecond, MaxClockDrift: 10 * time.Millisecond}, StragglerTimeout: time.Hour, SharedAddresses: true},
		Open: func(FleetEvents) (Fleet, error) { return a, nil }}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	<-a.told
	if h.Status().DocumentsVersion != 7 {
		t.Errorf("figures %+v", h.Status())
	}
	for f.Discovery.Watches() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.Close()
	<-a.closed
}
