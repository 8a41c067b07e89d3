package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimitMB  = 64
	memorySockets  = 512
	memoryClients  = 16
	memoryCommands = 60 // of each client; fewer than "hundreds"
)

// anonymousKB is the process's own resident memory, without files.
func anonymousKB(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// memory: clients send many writes of the largest value at once. The platform kills a pooler that is over its memory limit.
func (p *play) memory() (string, error) {
	listen, pl, err := p.startPostgres(memoryLimitMB, memorySockets, 3, func(s *pgServer) {
		s.work = func(string) time.Duration { return 100 * time.Millisecond }
		s.run = func(string) string { return "stored" }
	})
	if err != nil {
		return "", err
	}
	defer pl.stop()
	var peak, killed atomic.Int64
	done := make(chan struct{})
	var platform sync.WaitGroup
	platform.Add(1)
	go func() { // the platform
		defer platform.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := int64(anonymousKB(pl.pid()))
			peak.Store(max(peak.Load(), kb))
			if kb > memoryLimitMB<<10 && killed.Load() == 0 {
				killed.Store(kb)
				p.rec.line("platform: the pooler holds %d KB of anonymous memory, and its limit is %d: killed", kb, memoryLimitMB<<10)
				_ = syscall.Kill(pl.pid(), syscall.SIGKILL)
			}
		}
	}()
	var lost atomic.Int64
	var clients sync.WaitGroup
	for i := range memoryClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			lost.Add(int64(p.memoryClient(listen, i)))
		}()
	}
	clients.Wait()
	close(done)
	platform.Wait()
	p.rec.line("peak of the pooler's anonymous memory: %d KB of %d KB", peak.Load(), memoryLimitMB<<10)
	if killed.Load() > 0 {
		return fmt.Sprintf("the pooler was over its memory limit (%d KB of %d KB) and killed; %d commands that were sent got no answer",
			killed.Load(), memoryLimitMB<<10, lost.Load()), nil
	}
	return "", nil
}

// memoryClient sends its commands, all at once or each behind the answer of the one before, and returns how many got no answer.
func (p *play) memoryClient(listen string, client int) (unanswered int) {
	c, err := dialPG(listen)
	if err != nil {
		p.rec.line("client %d: %v", client, err)
		return 0
	}
	defer c.Close()
	send := func(k int) error {
		id := fmt.Sprintf("%08x%08x", client+1, k)
		err := copyAll(c, pgQuery(fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', '\\x%s') RETURNING val /* id=%s,c=booking-write,d=3000,k=%s,cluster=0 */",
			id, strings.Repeat("ab", valueBytes), id, id)))
		p.rec.line("client %d: sent command %d (%v)", client, k, err)
		return err
	}
	var sent atomic.Int64
	if p.trouble {
		go func() {
			for k := range memoryCommands {
				if send(k) != nil {
					return
				}
				sent.Add(1)
			}
		}()
	}
	for k := range memoryCommands {
		if !p.trouble {
			if send(k) != nil {
				return 0
			}
			sent.Add(1)
		}
		a, err := c.answer()
		p.rec.line("client %d: answer %d: %v %v", client, k, a, err)
		if err != nil {
			return int(sent.Load()) - k
		}
	}
	return 0
}
