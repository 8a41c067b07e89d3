package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"time"
)

func init() { cases["kill"] = killCase }

var uidPattern = regexp.MustCompile(`uid = '([^']*)'`)

func uidOf(text string) string {
	if m := uidPattern.FindStringSubmatch(text); m != nil {
		return m[1]
	}
	return ""
}

func now() int64 { return time.Now().UnixMilli() }

// killCase: a client sends two reads at once; the first is cancelled with KILL QUERY at about the time of its answer. The second must
// get its own answer.
func killCase(trouble bool) (broken string) {
	reached := make(chan Statement, 16)
	handle := func(s Statement) []byte {
		uid := uidOf(s.Text)
		if uid != "" && uid[0] == 'a' {
			reached <- s
			return nil // answered below
		}
		return oneRow("val", "value of "+uid, false)
	}
	primary := NewMyServer("db1", true, now, handle)
	replica := NewMyServer("db2", false, now, handle)
	path := os.TempDir() + fmt.Sprintf("/review-%d.yaml", os.Getpid())
	if err := os.WriteFile(path, []byte(inventory(primary, replica)), 0o644); err != nil {
		cannot("%v", err)
	}
	atEnd(func() { os.Remove(path) })
	classes := []Class{
		{Name: "catalogue-read", Effect: "free", Read: "eventual", AimMs: 1000, DeadlineMs: 2000},
		{Name: "booking-write", Effect: "guarded", Group: "cell", Read: "mutate", AimMs: 1000, DeadlineMs: 3000, WindowMs: 2000, LateWorth: 0.7},
	}
	p := NewPooler(PoolerOptions{Settings: settings(classes, nil), Discovery: NewDiscovery().Addr, MySQL: map[string]any{
		"inventory": path, "user": "threadsail", "heartbeat": heartbeatQuery,
		"defaults": map[string]any{"read": map[string]any{"class": "catalogue-read", "cluster": 0}, "write": map[string]any{"class": "booking-write", "cluster": 0}}}})
	p.Start()
	victim, err := DialMySQL(p.MySQL)
	if err != nil {
		cannot("%v", err)
	}
	killer, err := DialMySQL(p.MySQL)
	if err != nil {
		cannot("%v", err)
	}
	wrong, cancelled, served := 0, 0, 0
	for n := 0; time.Since(began) < 40*time.Second; n++ {
		a, b := fmt.Sprintf("a%06d", n), fmt.Sprintf("b%06d", n)
		statement := func(uid string) []byte {
			return query(fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%x%s,c=catalogue-read,d=2000,cluster=0 */", uid, rand.Uint64(), uid))
		}
		if err := victim.Send(statement(a), statement(b)); err != nil {
			cannot("%v", err)
		}
		var s Statement
		select {
		case s = <-reached:
		case <-time.After(3 * time.Second):
			cannot("%s has not reached a server", a)
		}
		kill := query(fmt.Sprintf("KILL QUERY %d", victim.Thread))
		answered := make(chan struct{})
		go func() { // up to 1 ms before or after the cancel
			time.Sleep(time.Millisecond + rand.N(2*time.Millisecond))
			_, _ = s.Conn.Write(oneRow("val", "value of "+a, false))
			close(answered)
		}()
		if trouble {
			time.Sleep(2 * time.Millisecond)
			_ = killer.Send(kill)
			if _, err := killer.Read(3*time.Second, false); err != nil {
				cannot("the killer has no answer: %v", err)
			}
		}
		<-answered
		first, err1 := victim.Read(4*time.Second, false)
		second, err2 := victim.Read(4*time.Second, false)
		if err1 != nil || err2 != nil {
			return fmt.Sprintf("trial %d: a statement has no answer: %v, %v", n, err1, err2)
		}
		if first.Err != 0 {
			cancelled++
		} else {
			served++
		}
		if second.Err == 0 && second.Value != "value of "+b {
			wrong++
			record("trial %d: %s was answered %v; %s was answered %v", n, a, first, b, second)
		}
		time.Sleep(7 * time.Millisecond)
	}
	say("first statements: %d served, %d cancelled; second statements with a foreign value: %d", served, cancelled, wrong)
	if wrong > 0 {
		return fmt.Sprintf("%d statements were answered with the value of another one", wrong)
	}
	return ""
}
