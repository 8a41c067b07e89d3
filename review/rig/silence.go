package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	silenceClients = 8
	silenceLength  = 1200 * time.Millisecond
	silenceBefore  = 3 * time.Second
	silenceAfter   = 20 * time.Second
	silencePause   = 50 * time.Millisecond
)

// silence: clients only write; the primary is cut off for 1.2 s, and stays the primary. A trial, no case: every write has its answer.
func (p *play) silence() (string, error) {
	var primary *pgServer
	listen, pl, err := p.startPostgres(64, 576, 4, func(s *pgServer) {
		s.work = func(string) time.Duration { return 100 * time.Millisecond }
		if s.isPrimary() {
			primary = s
		}
	})
	if err != nil {
		return "", err
	}
	defer pl.stop()
	recovered := time.Now().Add(silenceBefore + silenceLength + 3*time.Second) // by then what waited within the cut has its answer
	end := time.Now().Add(silenceBefore + silenceLength + silenceAfter)
	var mu sync.Mutex
	served, refused := 0, 0
	var clients sync.WaitGroup
	for client := range silenceClients {
		clients.Go(func() {
			c, err := dialPG(listen)
			if err != nil {
				p.rec.line("client %d: %v", client, err)
				return
			}
			defer c.Close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("%08x%08x", client+1, k)
				sentAt := time.Now()
				if copyAll(c, pgQuery(writeOf(id, 1))) != nil {
					return
				}
				a, err := c.answer()
				p.rec.line("client %d: %s: %v, %v", client, id, a, err)
				if err != nil {
					return
				}
				if sentAt.After(recovered) {
					mu.Lock()
					if a.served {
						served++
					} else {
						refused++
					}
					mu.Unlock()
				}
				time.Sleep(silencePause)
			}
		})
	}
	time.Sleep(silenceBefore)
	if p.trouble {
		p.rec.line("the primary is cut off")
		primary.cut(silenceLength)
		p.rec.line("the primary is back, and still the primary")
	}
	clients.Wait()
	p.rec.line("writes sent later than 3 s behind the cut: %d served, %d not", served, refused)
	if served == 0 {
		return fmt.Sprintf("no write was served in the %v behind the cut; %d were refused or failed", silenceAfter, refused), nil
	}
	return "", nil
}
