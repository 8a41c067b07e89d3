package pooler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/pooler/admin"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/postgres"
)

// answerCache gives the first answer that may be another's to each later request that may have it.
type answerCache struct {
	kept   map[string]any
	keep   func(any) (any, int, bool)
	passed int // requests that may have another's answer, and found none
}

func keyOf(r *dispatch.Request) string {
	return fmt.Sprint(r.Class, r.Group, r.CacheVariant, "|", r.Statement)
}

func (c *answerCache) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	if r.CacheVariant == "" {
		return dispatch.Admission{}
	}
	if c.kept[keyOf(r)] == nil {
		c.passed++
	}
	return dispatch.Admission{Answer: c.kept[keyOf(r)]}
}

func (c *answerCache) MaySend(time.Duration, *dispatch.Request, string) dispatch.SendDecision {
	return dispatch.Send
}

func (c *answerCache) RequestEnded(_ time.Duration, r *dispatch.Request, e dispatch.FinalAnswer) {
	if answer, _, ok := c.keep(e.Answer); ok && r.CacheVariant != "" {
		c.kept[keyOf(r)] = answer
	}
}

// idleFleet is a fleet of nobody; what it is never asked for is nil.
type idleFleet struct{ pooler.Fleet }

func (idleFleet) AcquireLease(func(lease.Lease, bool, error))            {}
func (idleFleet) ReleaseLease()                                          {}
func (idleFleet) SetStatus(discoveryleader.Announcement, string, string) {}
func (idleFleet) Status() admin.FleetStatus                              { return admin.FleetStatus{} }
func (idleFleet) Close()                                                 {}

// A kept answer is given to other clients on either wire, as the server gave it; on MySQL's not to a client that reads another
// charset, nor for a prepared statement, nor where the statement did not name its class.
func TestCachedAnswers(t *testing.T) {
	for _, wire := range []string{"postgres", "mysql"} {
		t.Run(wire, func(t *testing.T) {
			f := standin.NewFleet(t, wire == "mysql", nil, "db1")
			f.Servers[0].Stamp()
			cfg, err := config.Load(f.Getenv)
			if err != nil {
				t.Fatal(err)
			}
			my, err := config.LoadMySQL(f.Getenv, cfg)
			if err != nil {
				t.Fatal(err)
			}
			ready, terminate, ended := make(chan pooler.Addresses, 1), make(chan struct{}), make(chan error, 1)
			guard := &answerCache{kept: map[string]any{}, keep: postgres.Cacheable}
			if wire == "mysql" {
				guard.keep = mysql.Cacheable
			}
			part := &pooler.FleetOptions{Config: &config.Fleet{Name: "n1", LeaseConfig: config.LeaseConfig{Term: time.Second, MaxClockDrift: 10 * time.Millisecond}, StragglerTimeout: time.Minute},
				Open: func(pooler.FleetEvents) (pooler.Fleet, error) { return idleFleet{}, nil },
				Attach: func(front pooler.Frontend) {
					if front.Name == wire {
						front.Dispatcher.AddGuard(guard)
					}
				}}
			go func() {
				ended <- pooler.Serve(cfg, my, zerolog.Nop(), pooler.Control{Terminate: terminate, Fleet: part}, func(a pooler.Addresses) { ready <- a })
			}()
			var addrs pooler.Addresses
			select {
			case addrs = <-ready:
			case err := <-ended:
				t.Fatal(err)
			}
			read := standin.Read("any", 2*time.Second)
			other := standin.Read("any", 2*time.Second) // another request, of the same statement
			if wire == "postgres" {
				a, errA := standin.DialPostgres(addrs.Postgres)
				b, errB := standin.DialPostgres(addrs.Postgres)
				if errA != nil || errB != nil {
					t.Fatal(errA, errB)
				}
				first, second := a.Do(read), b.Do(other)
				if !first.Served() || second.Value != first.Value {
					t.Errorf("%+v, then %+v", first, second)
				}
				if third := b.Do(standin.Read("view", 2*time.Second)); third.Value == first.Value {
					t.Error("another class has the same answer")
				}
				if again := a.Do(standin.Read("any", 2*time.Second)); again.Value != first.Value {
					t.Error("what one session did with it shows in the next")
				}
				_, _ = a.Close(), b.Close()
			} else {
				a, errA := standin.DialMySQL(addrs.MySQL)
				b, errB := standin.DialMySQL(addrs.MySQL)
				if errA != nil || errB != nil {
					t.Fatal(errA, errB)
				}
				plain := func(m *standin.MySQL, text string) (value string) {
					if err := m.QueryRow(text).Scan(&value); err != nil {
						t.Fatal(err)
					}
					return value
				}
				first := plain(a, read)
				if second := plain(b, other); second != first {
					t.Errorf("%s, then %s", first, second)
				}
				if prepared := b.Do(standin.Read("any", 2*time.Second)); prepared.Value == first {
					t.Error("a prepared statement has a plain one's answer")
				}
				const bare = "SELECT val FROM state WHERE uid = 'u1'"
				if one, two := plain(a, bare), plain(b, bare); one == two || one == first {
					t.Error("a statement without a class of its own has another's answer")
				}
				if _, err := b.Exec("SET NAMES latin2"); err != nil {
					t.Fatal(err)
				}
				if latin := plain(b, standin.Read("any", 2*time.Second)); latin == first {
					t.Error("a client of another charset has the same answer")
				}
				_, _ = a.Close(), b.Close()
			}
			close(terminate)
			if err := <-ended; err != nil {
				t.Error(err)
			}
			if guard.passed == 0 {
				t.Error("the guard was not asked")
			}
		})
	}
}
