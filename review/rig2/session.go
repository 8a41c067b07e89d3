package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["session"] = sessionCase }

// rowStore is what a group of servers holds: the versions of each row, with the time of each commit. A replica has applied everything
// that is older than its lag.
type rowStore struct {
	mu       sync.Mutex
	versions map[string][]version
	lag      func() time.Duration
}

type version struct {
	value string
	at    time.Time
}

func (s *rowStore) write(uid, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[uid] = append(s.versions[uid], version{value, time.Now()})
}

// read returns what a server has that is so far behind.
func (s *rowStore) read(uid string, lag time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := ""
	for _, v := range s.versions[uid] {
		if time.Since(v.at) >= lag {
			value = v.value
		}
	}
	return value
}

// replicaLag is the replay lag of the replicas during the disruption.
const replicaLag = 3 * time.Second

// sessionCase: sessions write and read their own row over the MySQL frontend, with tokens that the pooler keeps. For 12 s the replicas
// replay their log late.
func sessionCase(trouble bool) (broken string) {
	store := &rowStore{versions: map[string][]version{}}
	var lagMu sync.Mutex
	var lag time.Duration
	currentLag := func() time.Duration {
		lagMu.Lock()
		defer lagMu.Unlock()
		return lag
	}
	handler := func(primary bool) func(s Statement) []byte {
		return func(s Statement) []byte {
			uid := uidOf(s.Text)
			if strings.HasPrefix(s.Text, "INSERT") {
				if !primary {
					return packet(1, errPacket(1290, "HY000", "The MySQL server is running with the --read-only option"))
				}
				quoted := strings.Split(s.Text, "'")
				store.write(quoted[1], quoted[3])
				record("%s ran %s", s.Server.Name, s.Text)
				return packet(1, []byte{0, 1, 0, 2, 0, 0, 0})
			}
			behind := time.Duration(0)
			if !primary {
				behind = currentLag()
			}
			value := store.read(uid, behind)
			record("%s gave %q for %s", s.Server.Name, value, s.Text)
			return oneRow("val", value, false)
		}
	}
	position := func() int64 { return time.Now().Add(-currentLag() - 5*time.Millisecond).UnixMilli() }
	primary := NewMyServer("db1", true, now, handler(true))
	one := NewMyServer("db2", false, position, handler(false))
	two := NewMyServer("db3", false, position, handler(false))
	path := os.TempDir() + fmt.Sprintf("/review-%d.yaml", os.Getpid())
	if err := os.WriteFile(path, []byte(inventory(primary, one, two)), 0o644); err != nil {
		cannot("%v", err)
	}
	atEnd(func() { os.Remove(path) })
	classes := []Class{
		{Name: "own-bookings", Effect: "free", Read: "causal", AimMs: 750, DeadlineMs: 2500},
		{Name: "catalogue-read", Effect: "free", Read: "eventual", AimMs: 500, DeadlineMs: 1500},
		{Name: "booking-write", Effect: "guarded", Group: "cell", Read: "mutate", AimMs: 1000, DeadlineMs: 3000, WindowMs: 2000, LateWorth: 0.7},
	}
	kept := func(s map[string]any) { s["familyInfo"].(map[string]any)["tokens"] = "kept" }
	p := NewPooler(PoolerOptions{Settings: settings(classes, kept), Discovery: NewDiscovery().Addr, MySQL: map[string]any{
		"inventory": path, "user": "threadsail", "heartbeat": heartbeatQuery,
		"defaults": map[string]any{"read": map[string]any{"class": "catalogue-read", "cluster": 0}, "write": map[string]any{"class": "booking-write", "cluster": 0}}}})
	p.Start()
	time.Sleep(2 * time.Second)
	if trouble {
		lagMu.Lock()
		lag = replicaLag
		lagMu.Unlock()
		record("from now on the replicas replay their log %v late", replicaLag)
	}
	stale, reads, unserved := 0, 0, 0
	var mu sync.Mutex
	var sessions sync.WaitGroup
	for n := range 8 {
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			client, err := DialMySQL(p.MySQL)
			if err != nil {
				cannot("%v", err)
			}
			uid := fmt.Sprintf("family-%d", n)
			for i := 1; i <= 25; i++ {
				value := fmt.Sprintf("lesson %d", i)
				written, err := client.Query(fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', '%s') /* id=%x,c=booking-write,d=3000,k=%x,cluster=0 */",
					uid, value, rand.Uint64(), rand.Uint64()), 4*time.Second)
				if err != nil {
					cannot("%v", err)
				}
				record("%s: the write of %q was answered: %v", uid, value, written)
				if written.Err != 0 {
					continue
				}
				time.Sleep(200 * time.Millisecond)
				got, err := client.Query(fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%x,c=own-bookings,d=2500,cluster=0 */", uid, rand.Uint64()), 4*time.Second)
				if err != nil {
					cannot("%v", err)
				}
				record("%s: the read was answered: %v", uid, got)
				mu.Lock()
				reads++
				switch {
				case got.Err != 0:
					unserved++
				case got.Value != value:
					stale++
					record("%s: STALE: the session's last write was %q, its read got %q", uid, value, got.Value)
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	sessions.Wait()
	say("%d reads of sessions, %d unserved, %d without the session's own last write", reads, unserved, stale)
	if reads-unserved < 50 {
		cannot("too few reads were served")
	}
	if stale > 0 {
		return fmt.Sprintf("%d reads lack a write of their own session that this pooler had answered", stale)
	}
	return ""
}
