package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["removed"] = removedCase
	cases["halfwritten"] = halfWrittenCase
}

// fileClasses are the classes of the cases with watched files.
var fileClasses = []Class{
	{Name: "timetable-view", Effect: "free", Read: "lag_bound", BoundMs: 800, AimMs: 750, DeadlineMs: 2500},
	{Name: "catalogue-read", Effect: "free", Read: "eventual", AimMs: 500, DeadlineMs: 1500},
	{Name: "booking-write", Effect: "guarded", Group: "cell", Read: "mutate", AimMs: 1000, DeadlineMs: 3000, WindowMs: 2000, LateWorth: 0.7},
}

// filePooler is a pooler whose MySQL frontend watches a file of servers, with the settings that deploy/mysql.json ships.
func filePooler(path string) *Pooler {
	return NewPooler(PoolerOptions{Settings: settings(fileClasses, nil), Discovery: NewDiscovery().Addr, MySQL: map[string]any{
		"inventory": path, "user": "threadsail", "heartbeat": heartbeatQuery, "reload_ms": 1000, "probe_timeout_ms": 250,
		"defaults": map[string]any{"read": map[string]any{"class": "catalogue-read", "cluster": 0}, "write": map[string]any{"class": "booking-write", "cluster": 0}}}})
}

// replaceFile replaces a file as a whole.
func replaceFile(path, text string) {
	if err := os.WriteFile(path+".next", []byte(text), 0o644); err != nil {
		cannot("%v", err)
	}
	if err := os.Rename(path+".next", path); err != nil {
		cannot("%v", err)
	}
}

func tempFolder() string {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannot("%v", err)
	}
	atEnd(func() { os.RemoveAll(dir) })
	return dir
}

// load sends reads and writes from a few clients until stop is closed. It calls answered with each answer.
func load(addr string, clients int, stop chan struct{}, answered func(statement string, r Result)) *sync.WaitGroup {
	var group sync.WaitGroup
	for n := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			client, err := DialMySQL(addr)
			if err != nil {
				cannot("%v", err)
			}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				text := fmt.Sprintf("SELECT val FROM state WHERE uid = 'u%d-%d' /* id=%x,c=catalogue-read,d=1500,cluster=0 */", n, i, rand.Uint64())
				if i%4 == 0 {
					text = strings.Replace(text, "c=catalogue-read,d=1500", "c=timetable-view,d=2500", 1)
				}
				if i%2 == 1 {
					text = fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('u%d-%d', 'x') /* id=%x,c=booking-write,d=3000,k=%x,cluster=0 */", n, i, rand.Uint64(), rand.Uint64())
				}
				got, err := client.Query(text, 6*time.Second)
				if err != nil {
					cannot("%v", err)
				}
				record("%s was answered: %v", text, got)
				answered(text, got)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	return &group
}

// removedCase: the file is replaced by one without the server that is currently primary. Nothing may be sent to it 2 s later.
func removedCase(trouble bool) (broken string) {
	var mu sync.Mutex
	last := map[string]time.Time{}
	handle := func(s Statement) []byte {
		mu.Lock()
		last[s.Server.Name] = time.Now()
		mu.Unlock()
		record("%s got %.60s", s.Server.Name, s.Text)
		if s.Text[0] == 'S' {
			return oneRow("val", "x", false)
		}
		if !s.Server.primary {
			return packet(1, errPacket(1290, "HY000", "The MySQL server is running with the --read-only option"))
		}
		return packet(1, []byte{0, 1, 0, 2, 0, 0, 0})
	}
	var servers []*MyServer
	for n := range 4 {
		servers = append(servers, NewMyServer(fmt.Sprintf("db%d", n+1), n == 0, now, handle))
	}
	path := filepath.Join(tempFolder(), "inventory.yaml")
	replaceFile(path, inventory(servers...))
	p := filePooler(path)
	p.Start()
	stop := make(chan struct{})
	clients := load(p.MySQL, 6, stop, func(string, Result) {})
	time.Sleep(3 * time.Second)
	replaced := time.Now()
	if trouble {
		replaceFile(path, inventory(servers[1:]...))
		record("the file is replaced: db1, the primary, is not in it any more")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	after := last["db1"].Sub(replaced)
	say("the last statement came to db1 %.2f s after the replacement", after.Seconds())
	if trouble && after > 2050*time.Millisecond {
		return fmt.Sprintf("a statement was sent to the removed server %.2f s after it was removed", after.Seconds())
	}
	return ""
}

// halfWrittenCase: the file is written in place, and its writer dies in the middle. No statement may reach a server that neither the old nor
// the new file names.
func halfWrittenCase(trouble bool) (broken string) {
	var mu sync.Mutex
	strayReads, strayWrites, foreign := 0, 0, 0
	handle := func(s Statement) []byte {
		record("%s got %s", s.Server.Name, s.Text)
		if s.Text[0] == 'S' {
			return oneRow("val", "ours", false)
		}
		if !s.Server.primary {
			return packet(1, errPacket(1290, "HY000", "The MySQL server is running with the --read-only option"))
		}
		return packet(1, []byte{0, 1, 0, 2, 0, 0, 0})
	}
	// A machine with two servers: another team's at MySQL's default port, and a replica of this cluster at port 3307.
	machine := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
	newMyServerAt(machine+":3306", "other team's", true, func(s Statement) []byte {
		mu.Lock()
		defer mu.Unlock()
		record("the other team's server got %s", s.Text)
		if s.Text[0] == 'S' {
			strayReads++
			return oneRow("val", "theirs", false)
		}
		strayWrites++
		return packet(1, []byte{0, 1, 0, 2, 0, 0, 0})
	})
	primary := NewMyServer("db1", true, now, handle)
	replica := newMyServerAt(machine+":3307", "db2", false, handle)
	path := filepath.Join(tempFolder(), "inventory.yaml")
	whole := inventory(primary, replica)
	replaceFile(path, whole)
	record("the file:\n%s", whole)
	p := filePooler(path)
	p.Start()
	stop := make(chan struct{})
	clients := load(p.MySQL, 10, stop, func(statement string, r Result) {
		if r.Value == "theirs" {
			mu.Lock()
			foreign++
			mu.Unlock()
			record("FOREIGN: %s was answered with the other team's data", statement)
		}
	})
	time.Sleep(3 * time.Second)
	// A tool writes the file anew, line by line, with the same servers.
	text := whole
	if trouble {
		text = whole[:len(whole)-len("      mysql_port: 3307\n")]
		record("the writer dies before the last line:\n%s", text)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		cannot("%v", err)
	}
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	record("the pooler's log:\n%s", p.Log())
	say("%d reads and %d writes reached a server that no whole file names; %d reads were answered with its data", strayReads, strayWrites, foreign)
	if strayReads+strayWrites > 0 {
		return fmt.Sprintf("a half-written file routed %d writes and %d reads to the wrong server", strayWrites, strayReads)
	}
	return ""
}

// newMyServerAt starts a server at an address.
func newMyServerAt(addr, name string, primary bool, handle func(s Statement) []byte) *MyServer {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		cannot("%v", err)
	}
	s := &MyServer{Name: name, Addr: addr, primary: primary, position: now, handle: handle, listener: l}
	go s.accept()
	return s
}
