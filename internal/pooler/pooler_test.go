package pooler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/lab/standin"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// poolerProcess runs a pooler over a fleet's servers until the test ends.
func poolerProcess(t testing.TB, f *standin.Fleet) pooler.Addresses {
	t.Helper()
	return serve(t, f.Getenv, f.Hup)
}

// serve runs a pooler until the test ends.
func serve(t testing.TB, getenv func(string) string, hup <-chan struct{}) pooler.Addresses {
	t.Helper()
	a, err := tryServe(t, getenv, hup)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// tryServe runs a pooler until the test ends, if it starts.
func tryServe(t testing.TB, getenv func(string) string, hup <-chan struct{}) (pooler.Addresses, error) {
	a, terminate, ended, err := launch(getenv, hup)
	if err == nil {
		t.Cleanup(func() {
			close(terminate)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	return a, err
}

// launch runs a pooler until terminate is closed; ended receives Serve's error.
func launch(getenv func(string) string, hup <-chan struct{}) (a pooler.Addresses, terminate chan struct{}, ended chan error, err error) {
	return launchWith(getenv, hup, nil)
}

// launchWith is launch for a pooler with a fleet; part nil: it runs on its own.
func launchWith(getenv func(string) string, hup <-chan struct{}, part *pooler.FleetOptions) (a pooler.Addresses, terminate chan struct{}, ended chan error, err error) {
	cfg, err := config.Load(getenv)
	if err != nil {
		return a, nil, nil, err
	}
	my, err := config.LoadMySQL(getenv, cfg)
	if err != nil {
		return a, nil, nil, err
	}
	ready := make(chan pooler.Addresses, 1)
	terminate, ended = make(chan struct{}), make(chan error, 1)
	control := pooler.Control{Terminate: terminate, Reload: hup, Fleet: part,
		Load: func(inForce *config.Config) (*config.Config, error) { return inForce.Reload(getenv) }}
	go func() {
		ended <- pooler.Serve(cfg, my, zerolog.Nop(), control, func(a pooler.Addresses) { ready <- a })
	}()
	select {
	case a = <-ready:
		return a, terminate, ended, nil
	case err = <-ended:
		return a, nil, nil, err
	}
}

// dial connects a client to the MySQL frontend, if it is enabled, else to the PostgreSQL one.
func dial(t testing.TB, a pooler.Addresses) standin.Client {
	t.Helper()
	var c standin.Client
	var err error
	if a.MySQL != "" {
		c, err = standin.DialMySQL(a.MySQL)
	} else {
		c, err = standin.DialPostgres(a.Postgres)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// pairs are the frontends, and the protocols of the servers behind them.
var pairs = []struct {
	name  string
	mysql bool
	speak func(i int) bool // MySQL
}{
	{"postgres", false, func(int) bool { return false }},
	{"mysql", true, func(int) bool { return true }},
	{"postgres to mysql", false, func(int) bool { return true }},
	{"postgres to new and old", false, func(i int) bool { return i > 0 }},
	{"mysql to postgres", true, func(int) bool { return false }},
	{"mysql to new and old", true, func(i int) bool { return i > 0 }}, // a migration: the primary is new already
	{"mysql to old and new", true, func(i int) bool { return i == 0 }},
}

// testOverAllProtocols runs a test over all pairs of frontends and servers.
func testOverAllProtocols(t *testing.T, change func(map[string]any), names []string, test func(*testing.T, *standin.Fleet, pooler.Addresses)) {
	for _, pair := range pairs {
		t.Run(pair.name, func(t *testing.T) {
			t.Parallel() // they mostly wait
			f := standin.NewMixedFleet(t, pair.mysql, pair.speak, change, names...)
			test(t, f, poolerProcess(t, f))
			if n := f.Ledger.Overlaps(); n > 0 {
				t.Errorf("%d attempts met an earlier one of the same request", n)
			}
		})
	}
}

// always has a server do the same with each statement.
func always(act standin.Act) func(standin.Seen) standin.Act {
	return func(standin.Seen) standin.Act { return act }
}

// once does something with the first statement only.
func once(act standin.Act) func(standin.Seen) standin.Act {
	var done atomic.Bool
	return func(standin.Seen) standin.Act {
		if done.CompareAndSwap(false, true) {
			return act
		}
		return standin.Answer
	}
}

const (
	// patience is the time that clients wait where a test is about what becomes of a request that is not served.
	patience = 800 * time.Millisecond
	// amplePatience is the time that they wait where the request must be served: however busy the machine is, its speed must not
	// decide.
	amplePatience = 20 * time.Second
)

// expectServed ends the test unless a request was served.
func expectServed(t testing.TB, r standin.Result) {
	t.Helper()
	if !r.Served() {
		t.Fatalf("got %+v, want an answer", r)
	}
}

// fleetOptions are those of a pooler in a fleet of its own.
func fleetOptions(attach func(pooler.Frontend), limiter func() pooler.Limiter) *pooler.FleetOptions {
	lease := config.LeaseConfig{Term: time.Second, MaxClockDrift: 10 * time.Millisecond}
	options := &pooler.FleetOptions{
		Config: &config.Fleet{Name: "n1", LeaseConfig: lease, StragglerTimeout: time.Minute},
		Open:   func(pooler.FleetEvents) (pooler.Fleet, error) { return idleFleet{}, nil },
		Attach: attach,
	}
	if limiter != nil {
		options.NewLimiter = func(func(int) policy.Class, func() policy.Settings) pooler.Limiter { return limiter() }
	}
	return options
}
