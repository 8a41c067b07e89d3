package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["silent"] = silentCase }

// silentCase: clients write to a group whose primary stands still for 1.4 s, too short for the platform to give it up. Afterwards the pooler
// must not reject all that it gets for 4 s on end, with no attempt in between.
func silentCase(trouble bool) (broken string) {
	var mu sync.Mutex
	var lastAttempt time.Time
	handle := func(s *PGServer, text string) []byte {
		mu.Lock()
		lastAttempt = time.Now()
		mu.Unlock()
		record("%s runs %s", s.Name, text)
		time.Sleep(75 * time.Millisecond)
		return pgRow("val", "x", "INSERT 0 1")
	}
	primary := NewPGServer("db1", true, handle)
	one, two := NewPGServer("db2", false, handle), NewPGServer("db3", false, handle)
	discovery := NewDiscovery(primary.Member("Ready"), one.Member("Ready"), two.Member("Ready"))
	classes := []Class{
		{Name: "lookup", Effect: "free", Read: "lag_bound", BoundMs: 3000, AimMs: 300, DeadlineMs: 750},
		{Name: "sign-off", Effect: "single_shot", Read: "mutate", AimMs: 750, DeadlineMs: 2000, LateWorth: 0.3},
	}
	p := NewPooler(PoolerOptions{Settings: settings(classes, nil), Discovery: discovery.Addr, Known: discovery.list()})
	p.Start()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	type outcome struct {
		at      time.Time
		refused bool
	}
	var outcomes []outcome
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client, err := DialPG(p.Addr)
			if err != nil {
				cannot("%v", err)
			}
			for {
				select {
				case <-stop:
					return
				default:
				}
				text := fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%x', '\\x9f03') RETURNING val /* id=%x,c=sign-off,d=1000,cluster=0 */", rand.Uint32(), rand.Uint64())
				got, err := client.Query(text, 5*time.Second)
				if err != nil {
					cannot("%v", err)
				}
				record("answered %v: %s", got, text)
				mu.Lock()
				outcomes = append(outcomes, outcome{time.Now(), got.Refused()})
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	goesOn := time.Now().Add(1400 * time.Millisecond)
	if trouble {
		primary.Hang(1400 * time.Millisecond)
	}
	time.Sleep(40 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	refused, other := 0, 0
	for _, o := range outcomes {
		if o.at.Before(goesOn.Add(time.Second)) {
			continue
		}
		if o.refused {
			refused++
		} else {
			other++
		}
	}
	say("from 1 s after the primary went on: %d requests refused, %d answered otherwise; the last attempt at a server was %.1f s before the end", refused, other,
		time.Since(lastAttempt).Seconds())
	if other == 0 && refused >= 15 && time.Since(lastAttempt) > 4*time.Second {
		return fmt.Sprintf("the pooler rejected all of %d requests, with no attempt, though the primary is back", refused)
	}
	return ""
}
