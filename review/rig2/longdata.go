package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["longdata"] = longDataCase }

const (
	otherClients = 60       // that write large values
	largeValue   = 60 << 10 // bytes of each of them
	noteSize     = 512      // bytes of the value that is sent ahead
	documentSize = 10 << 10 // bytes of the value within the EXECUTE
	writerCount  = 12
	hangTime     = 5 * time.Second
)

// longDataCase: a client writes with a prepared statement, of which one value is sent ahead (SEND_LONG_DATA). Other clients
// write large values to another cluster, whose primary hangs for a while. What a server runs must be what the client has sent.
func longDataCase(trouble bool) (broken string) {
	var mu sync.Mutex
	var run []Statement
	handle := func(s Statement) []byte {
		if strings.HasPrefix(s.Text, "SELECT") {
			return oneRow("val", "x", false)
		}
		if s.Server.Name != "db1" && s.Server.Name != "db3" {
			return packet(1, errPacket(1290, "HY000", "The MySQL server is running with the --read-only option"))
		}
		if len(s.Values) == 0 { // another client's
			return packet(1, []byte{0, 1, 0, 2, 0, 0, 0})
		}
		mu.Lock()
		run = append(run, s)
		mu.Unlock()
		record("%s ran an INSERT with values of %d, %d and %d bytes", s.Server.Name, len(s.Values[0]), len(s.Values[1]), len(s.Values[2]))
		return packet(1, []byte{0, 1, 0, 2, 0, 0, 0})
	}
	primary := NewMyServer("db1", true, now, handle)
	replica := NewMyServer("db2", false, now, handle)
	otherPrimary := NewMyServer("db3", true, now, handle)
	otherReplica := NewMyServer("db4", false, now, handle)
	otherPrimary.Cluster, otherReplica.Cluster = 1, 1
	path := os.TempDir() + fmt.Sprintf("/review-%d.yaml", os.Getpid())
	if err := os.WriteFile(path, []byte(inventory(primary, replica, otherPrimary, otherReplica)), 0o644); err != nil {
		cannot("%v", err)
	}
	atEnd(func() { os.Remove(path) })
	classes := []Class{
		{Name: "catalogue-read", Effect: "free", Read: "eventual", AimMs: 500, DeadlineMs: 1500},
		{Name: "booking-write", Effect: "guarded", Group: "cell", Read: "mutate", AimMs: 1000, DeadlineMs: 3000, WindowMs: 2000, LateWorth: 0.7},
	}
	p := NewPooler(PoolerOptions{Settings: settings(classes, nil), Discovery: NewDiscovery().Addr, MemoryMB: 48, Sockets: 608, MySQL: map[string]any{
		"inventory": path, "user": "threadsail", "heartbeat": heartbeatQuery,
		"defaults": map[string]any{"read": map[string]any{"class": "catalogue-read", "cluster": 0}, "write": map[string]any{"class": "booking-write", "cluster": 0}}}})
	p.Start()
	time.Sleep(time.Second)
	for n := range otherClients {
		go otherClient(p.MySQL, n)
	}
	for n := range 4 {
		go reader(p.MySQL, n)
	}
	time.Sleep(time.Second)
	if trouble {
		otherPrimary.Hang(hangTime)
		time.Sleep(500 * time.Millisecond)
	}
	var result longDataResult
	var writers sync.WaitGroup
	for w := range writerCount {
		writers.Add(1)
		go func() {
			defer writers.Done()
			takeRun := func(uid string) (statements []Statement) {
				mu.Lock()
				defer mu.Unlock()
				kept := run[:0]
				for _, s := range run {
					if s.Values[0] == uid {
						statements = append(statements, s)
					} else {
						kept = append(kept, s)
					}
				}
				run = kept
				return statements
			}
			result.write(p.MySQL, w, takeRun)
		}()
	}
	writers.Wait()
	if result.lost != "" {
		return result.lost
	}
	refused, served, wrong := result.refused, result.served, result.wrong
	say("%d writes served, %d refusals, %d run with a value that no client sent", served, refused, wrong)
	if served == 0 {
		cannot("no write was served")
	}
	if wrong > 0 {
		return fmt.Sprintf("%d writes ran, and were answered as served, with a value that no client sent", wrong)
	}
	return ""
}

// longDataResult is what became of the writes.
type longDataResult struct {
	mu                     sync.Mutex
	refused, served, wrong int
	lost                   string
}

func (r *longDataResult) add(to *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*to++
}

// write writes with a prepared statement, again and again, and compares what has run with what was sent.
func (r *longDataResult) write(addr string, writer int, takeRun func(uid string) []Statement) {
	client, err := DialMySQL(addr)
	if err != nil {
		cannot("%v", err)
	}
	id, err := client.Prepare("INSERT INTO state (uid, note, val) VALUES (?, ?, ?)")
	if err != nil {
		cannot("%v", err)
	}
	for n := 0; n < 50; n++ {
		uid := fmt.Sprintf("family-%d-%02d", writer, n)
		note := strings.Repeat(fmt.Sprintf("note %02d ", n), noteSize/8)
		document := strings.Repeat(fmt.Sprintf("line %02d ", n), documentSize/8)
		for try := 1; try <= 100; try++ {
			if err := client.Send(longData(id, 1, note), execute(id, uid, nil, document)); err != nil {
				cannot("%v", err)
			}
			got, err := client.Read(5*time.Second, true)
			if err != nil {
				r.lost = fmt.Sprintf("%s: no answer: %v", uid, err)
				return
			}
			record("%s: try %d, a note of %d bytes sent ahead and then an EXECUTE, was answered: %v", uid, try, len(note), got)
			if got.Err == 1040 {
				r.add(&r.refused)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			if got.Err == 0 {
				r.add(&r.served)
			}
			break
		}
		for _, s := range takeRun(uid) {
			if s.Values[1] != note || s.Values[2] != document {
				r.add(&r.wrong)
				record("%s: WRONG: the client sent a note of %d bytes, the server ran %d: %.40q…", uid, len(note), len(s.Values[1]), s.Values[1])
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// otherClient writes a large value, again and again.
func otherClient(addr string, n int) {
	client, err := DialMySQL(addr)
	for i := 0; err == nil; i++ {
		text := fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('other-%d-%d', '%s') /* id=%x,c=booking-write,d=3000,cluster=1 */",
			n, i, strings.Repeat("x", largeValue), rand.Uint64())
		_, err = client.Query(text, 10*time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	record("client %d ends: %v", n, err)
}

// reader reads, again and again.
func reader(addr string, n int) {
	client, err := DialMySQL(addr)
	for i := 0; err == nil; i++ {
		_, err = client.Query(fmt.Sprintf("SELECT val FROM state WHERE uid = 'reader-%d-%d' /* id=%x,c=catalogue-read,d=1500,cluster=1 */", n, i, rand.Uint64()), 10*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	record("reader %d ends: %v", n, err)
}
