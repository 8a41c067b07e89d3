package pooler_test

import (
	"fmt"
	"testing"
	"time"

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

// A kept answer is given to other clients over either protocol, as the server gave it; on MySQL's not to a client that reads another
// charset, nor for a prepared statement, nor where the statement did not name its class.
func TestCachedAnswers(t *testing.T) {
	for wire, test := range map[string]struct {
		keep   func(any) (any, int, bool)
		answer func(*testing.T, pooler.Addresses)
	}{"postgres": {postgres.Cacheable, testCachedPostgresAnswers}, "mysql": {mysql.Cacheable, testCachedMySQLAnswers}} {
		t.Run(wire, func(t *testing.T) {
			f := standin.NewFleet(t, wire == "mysql", nil, "db1")
			f.Servers[0].Stamp()
			guard := &answerCache{kept: map[string]any{}, keep: test.keep}
			attach := func(front pooler.Frontend) {
				if front.Name == wire {
					front.Dispatcher.AddGuard(guard)
				}
			}
			addrs, terminate, ended, err := launchWith(f.Getenv, nil, fleetOptions(attach, nil))
			if err != nil {
				t.Fatal(err)
			}
			test.answer(t, addrs)
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

// testCachedPostgresAnswers sends requests of the same statement from two clients.
func testCachedPostgresAnswers(t *testing.T, addrs pooler.Addresses) {
	a, errA := standin.DialPostgres(addrs.Postgres)
	b, errB := standin.DialPostgres(addrs.Postgres)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	read, other := standin.Read("any", 2*time.Second), standin.Read("any", 2*time.Second)
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
}

// testCachedMySQLAnswers sends requests of the same statement from two clients, and of others that must not have its answer.
func testCachedMySQLAnswers(t *testing.T, addrs pooler.Addresses) {
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
	read, other := standin.Read("any", 2*time.Second), standin.Read("any", 2*time.Second)
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
