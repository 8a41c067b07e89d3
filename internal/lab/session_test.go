package lab_test

import (
	"flag"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/lab"
	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/mysql"
)

var record = flag.Bool("record", false, "record testdata/old-client.cbor anew, against servers of the old wire")

const recorded = "testdata/old-client.cbor"

// theatre is a front with two servers behind it, and what may happen to them.
type theatre struct {
	f    *standin.Fleet
	addr string
}

func newTheatre(t *testing.T, speaksMySQL bool, login standin.Login) *theatre {
	t.Helper()
	f := standin.NewMixedFleet(t, true, func(int) bool { return speaksMySQL }, nil, "db1", "db2")
	for _, s := range f.Servers {
		s.Give("Őszi bérlet")
		s.Demand(login)
	}
	cfg, err := config.Load(f.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	my, err := config.LoadMySQL(f.Getenv, cfg)
	if err != nil {
		t.Fatal(err)
	}
	terminate, ready, ended := make(chan struct{}), make(chan pooler.Addresses, 1), make(chan error, 1)
	go func() {
		ended <- pooler.Serve(cfg, my, zerolog.Nop(), pooler.Control{Terminate: terminate}, func(a pooler.Addresses) { ready <- a })
	}()
	t.Cleanup(func() {
		close(terminate)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return &theatre{f, (<-ready).MySQL}
}

// happen makes a mark come true.
func (th *theatre) happen(mark string) error {
	act := func(do func(standin.Seen) standin.Act) {
		for _, s := range th.f.Servers {
			s.Do(do)
		}
	}
	once := func(a standin.Act) func(standin.Seen) standin.Act {
		var done atomic.Bool
		return func(standin.Seen) standin.Act {
			if done.CompareAndSwap(false, true) {
				return a
			}
			return standin.Answer
		}
	}
	switch mark {
	case "failover":
		th.f.Servers[0].Set(false, 0)
		th.f.Servers[1].Set(true, 0)
	case "full":
		act(func(standin.Seen) standin.Act { return standin.Full })
	case "well":
		act(nil)
	case "duplicate":
		act(once(standin.Wrong))
	case "broken":
		act(once(standin.Break))
	case "cancel": // the next statement, once it has come to a server
		hang, came := once(standin.Hang), make(chan struct{})
		act(func(s standin.Seen) standin.Act {
			a := hang(s)
			if a == standin.Hang {
				close(came)
			}
			return a
		})
		killer, err := standin.DialOld(th.addr, standin.ClientUser, standin.ClientPassword, standin.Latin2)
		if err != nil {
			return err
		}
		go func() {
			defer killer.Close()
			<-came
			const earlier = 64 // clients that connected before, of which one is executing something
			for back := uint32(1); back <= earlier; back++ {
				_, _ = killer.Do(mysql.Command(mysql.ComQuery, fmt.Sprintf("KILL QUERY %d", killer.Thread-back)))
			}
		}()
	default:
		return fmt.Errorf("unknown mark %q", mark)
	}
	return nil
}

// play is an afternoon of an old booking tool.
func play(c *standin.OldClient, mark func(string)) error {
	n := 0
	do := func(command byte, body string) ([][]byte, error) { return c.Do(mysql.Command(command, body)) }
	query := func(format string, args ...any) error {
		n++
		_, err := do(mysql.ComQuery, strings.ReplaceAll(fmt.Sprintf(format, args...), "ID", fmt.Sprintf("%08x", n)))
		return err
	}
	prepare := func(text string) (uint32, error) {
		answer, err := do(mysql.ComStmtPrepare, text)
		if err != nil {
			return 0, err
		}
		ok, err := mysql.ParsePrepareOK(answer[0])
		return ok.ID, err
	}
	execute := func(id uint32, values ...string) error {
		e := mysql.Execute{Nulls: make([]byte, (len(values)+7)/8)}
		for _, v := range values {
			e.Types = append(e.Types, mysql.TypeVarString, 0)
			e.Values = mysql.AppendText(e.Values, []byte(v))
		}
		_, err := c.Do(e.Payload(id))
		return err
	}
	steps := func(errs ...error) error {
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}
	if err := steps(query("SET NAMES latin2"), query("SELECT val FROM state WHERE uid = 'h\xf5s'"), query("SELECT val FROM `state` LIMIT 0, 1")); err != nil {
		return err
	}
	read, err := prepare("SELECT val FROM state WHERE uid = ? AND `Room` = ? /* c=any */")
	if err != nil {
		return err
	}
	write, err := prepare("INSERT INTO state (uid, val) VALUES (?, ?)")
	if err != nil {
		return err
	}
	term := func(name string) error {
		for i := range 30 {
			if err := steps(execute(read, fmt.Sprint(name, i), "f\xfbz"), query("SELECT val FROM state WHERE uid = '%s%d' /* id=ID,c=view,d=1500,cluster=0 */", name, i),
				execute(write, fmt.Sprint(name, i), "\xd5szi"), query("UPDATE state SET val = \"%d\" WHERE uid = 'u' /* id=ID,c=write,k=%s%d,d=1500 */", i, name, i)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := term("a"); err != nil {
		return err
	}
	errors := func() error {
		return steps(query("BEGIN"), query("HANDLER state OPEN"), query("SELECT 1 /* id=ID,c=nosuch */"), query("SELECT 1; SELECT 2"),
			query("LOAD DATA INFILE 'x' INTO TABLE t"), query("SET NAMES big5"), query("KILL QUERY 4000000"), execute(4711, "x"))
	}
	if err := errors(); err != nil {
		return err
	}
	mark("duplicate")
	if err := query("INSERT INTO state (uid) VALUES ('u') /* id=ID,c=write,k=dup,d=1500 */"); err != nil {
		return err
	}
	mark("cancel")
	if err := query("UPDATE state SET val = 'cancelled' /* id=ID,c=write,k=cancelled,d=1900 */"); err != nil {
		return err
	}
	mark("well")
	if err := term("b"); err != nil {
		return err
	}
	mark("full")
	if err := steps(query("INSERT INTO state (uid) VALUES ('u') /* id=ID,c=write,k=full,d=300 */"), query("SELECT val FROM state /* id=ID,c=any,d=200 */")); err != nil {
		return err
	}
	mark("well")
	if err := query("INSERT INTO state (uid) VALUES ('u') /* id=ID,c=write,k=full,d=1900 */"); err != nil {
		return err
	}
	mark("broken")
	if err := query("UPDATE state SET val = 'no key' /* id=ID,c=write,d=1500 */"); err != nil {
		return err
	}
	mark("failover")
	if err := steps(query("UPDATE state SET val = 'moved' /* id=ID,c=write,k=moved,d=1900 */"), term("c")); err != nil {
		return err
	}
	_, err = do(mysql.ComPing, "")
	return err
}

// An old client's session, recorded against servers of the old wire, is played against newer MySQL servers and against
// PostgreSQL servers: every field of every answer is as it was, but for those that the masks name.
func TestRecordedSession(t *testing.T) {
	if *record {
		th := newTheatre(t, true, standin.Native)
		r, err := lab.Record("127.0.0.1:0", th.addr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := standin.DialOld(r.Addr(), standin.ClientUser, standin.ClientPassword, standin.Latin2)
		if err != nil {
			t.Fatal(err)
		}
		if err := play(c, func(mark string) {
			r.Mark(mark)
			if err := th.happen(mark); err != nil {
				t.Fatal(err)
			}
		}); err != nil {
			t.Fatal(err)
		}
		c.Close()
		s, err := r.Wait()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Save(recorded); err != nil {
			t.Fatal(err)
		}
	}
	s, err := lab.LoadSession(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Steps) < 300 {
		t.Errorf("the session has %d steps only", len(s.Steps))
	}
	for name, c := range map[string]struct {
		mysql bool
		login standin.Login
	}{"old MySQL": {true, standin.Native}, "new MySQL": {true, standin.Full8}, "PostgreSQL": {false, standin.Native}} {
		t.Run(name, func(t *testing.T) {
			th := newTheatre(t, c.mysql, c.login)
			differences, err := s.Replay(th.addr, standin.ClientUser, standin.ClientPassword, lab.DefaultMasks, th.happen)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range differences {
				t.Error(d)
			}
			if n := th.f.Ledger.Overlaps(); n > 0 {
				t.Errorf("%d attempts met an earlier one of the same request", n)
			}
		})
	}
	t.Run("a difference is found", func(t *testing.T) {
		th := newTheatre(t, true, standin.Native)
		for _, server := range th.f.Servers {
			server.Give("another")
		}
		short := &lab.Session{Version: s.Version, Collation: s.Collation, Steps: s.Steps[:2]}
		differences, err := short.Replay(th.addr, standin.ClientUser, standin.ClientPassword, lab.DefaultMasks, nil)
		want := []lab.Difference{{Step: 1, Command: `QUERY "SELECT val FROM state WHERE uid = 'h\xf5s'"`, Field: "value.val",
			Was: `"\xd5szi b\xe9rlet"`, Came: `"another"`}}
		if d := cmp.Diff(want, differences); d != "" || err != nil {
			t.Error(err, d)
		}
	})
}
