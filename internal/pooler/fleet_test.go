package pooler_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/pooler/admin"
)

// fleetOnFullDisk can't write its copy.
type fleetOnFullDisk struct{ idleFleet }

func (fleetOnFullDisk) Status() admin.FleetStatus {
	return admin.FleetStatus{DocumentsVersion: 7, DocumentsAge: -1, ReplicaWriteFailing: true}
}

// What a full disk keeps from being written is told at the admin server, and the pooler goes on; a part without which it must
// not serve ends it in order, with the part's error.
func TestFleetStatusAtTheAdminServer(t *testing.T) {
	f := standin.NewFleet(t, false, nil, "db1")
	cfg, err := config.Load(f.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Admin = "127.0.0.1:0"
	ready, events, ended := make(chan pooler.Addresses, 1), make(chan pooler.FleetEvents, 1), make(chan error, 1)
	part := &pooler.FleetOptions{Config: &config.Fleet{Name: "n1", LeaseConfig: config.LeaseConfig{Term: time.Second, MaxClockDrift: 10 * time.Millisecond}, StragglerTimeout: time.Minute},
		Open: func(e pooler.FleetEvents) (pooler.Fleet, error) {
			events <- e
			return fleetOnFullDisk{}, nil
		}}
	go func() {
		ended <- pooler.Serve(cfg, nil, zerolog.Nop(), pooler.Control{Terminate: make(chan struct{}), Fleet: part}, func(a pooler.Addresses) { ready <- a })
	}()
	var addrs pooler.Addresses
	select {
	case addrs = <-ready:
	case err := <-ended:
		t.Fatal(err)
	}
	for call, wants := range map[string][]string{"PING": {"done"}, "INFO": {`disk_failing{file="copy"} 1`, `disk_failing{file="journal"} 0`, "shared_version 7"}} {
		c, err := net.Dial("tcp", addrs.Admin)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(call + "\n"))
		said, _ := io.ReadAll(c)
		_ = c.Close()
		for _, want := range wants {
			if !strings.Contains(strings.ToLower(string(said)), want) {
				t.Errorf("%s: %q lacks %s", call, said, want)
			}
		}
		if strings.Contains(string(said), "shared_age_ms") {
			t.Error("an age is told of a copy that was never confirmed")
		}
	}
	broken := errors.New("broken")
	(<-events).Failed(broken)
	if err := <-ended; !errors.Is(err, broken) {
		t.Errorf("ended with %v", err)
	}
}
