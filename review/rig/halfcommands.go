package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

const (
	halfClients   = 250 // that stop in the middle of a command and stay
	halfRunTime   = 15 * time.Second
	halfReconnect = 100 * time.Millisecond // between the end of a connection and the next

	batchClients = 4 // ordinary ones
	batchShort   = 3 // short writes of a batch; a write of the largest value follows
	batchPause   = 150 * time.Millisecond
)

// writeOf is a write of a value of so many bytes.
func writeOf(id string, bytes int) string {
	return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', '\\x%s') RETURNING val /* id=%s,c=booking-write,d=3000,k=%s,cluster=0 */",
		id, strings.Repeat("5a", bytes), id, id)
}

// idSet holds ids of requests.
type idSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *idSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = true
}

func (s *idSet) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// halfCommands: clients stop in the middle of a command and stay, while ordinary clients send some writes at once, the last of them of
// 64 KiB.
func (p *play) halfCommands() (string, error) {
	stored := &idSet{ids: map[string]bool{}}
	listen, pl, err := p.startPostgres(192, 1024, 4, func(s *pgServer) {
		s.work = func(string) time.Duration { return 100 * time.Millisecond }
		s.run = func(text string) string {
			stored.add(requestID(text))
			return "stored"
		}
	})
	if err != nil {
		return "", err
	}
	defer pl.stop()
	end := time.Now().Add(halfRunTime)
	var bad, ordinary sync.WaitGroup
	if p.trouble {
		for client := range halfClients {
			bad.Go(func() { p.halfClient(listen, client, end) })
		}
	}
	unanswered := make([][]string, batchClients)
	failures := make([]error, batchClients)
	for client := range batchClients {
		ordinary.Go(func() { unanswered[client], failures[client] = p.batchClient(listen, client, end) })
	}
	ordinary.Wait()
	bad.Wait()
	time.Sleep(time.Second) // what has been sent to a server ends
	if err := errors.Join(failures...); err != nil {
		return "", err
	}
	run, notRun := 0, 0
	for _, ids := range unanswered {
		for _, id := range ids {
			if !stored.has(id) {
				notRun++
				continue
			}
			run++
			p.rec.line("%s has been stored, and its client's connection ended without an answer", id)
		}
	}
	p.rec.line("writes whose connection the pooler ended without an answer: %d that were stored, %d that were not", run, notRun)
	if run > 0 {
		return fmt.Sprintf("the pooler ended connections without an answer to %d writes that were stored; no server and no ordinary client had ended one", run), nil
	}
	return "", nil
}

// halfClient sends the first half of a command and waits for the pooler's error or close, again and again.
func (p *play) halfClient(listen string, client int, end time.Time) {
	text := pgQuery(writeOf("00000000", valueBytes))
	for time.Now().Before(end) {
		if c, err := dialPG(listen); err == nil {
			_ = c.SetDeadline(time.Now().Add(4 * time.Second))
			n, _ := c.Write(text[:len(text)/2])
			p.rec.line("half client %d: sent the first %d of %d bytes of a command", client, n, len(text))
			sentAt := time.Now()
			got, err := io.Copy(io.Discard, c)
			p.rec.line("half client %d: %d bytes of an answer, and the end after %v: %v", client, got, time.Since(sentAt).Round(time.Millisecond), err)
			c.Close()
		}
		time.Sleep(halfReconnect)
	}
}

// batchClient sends batches of writes, each behind the answers to the one before, and returns the ids of those without an answer.
func (p *play) batchClient(listen string, client int, end time.Time) (unanswered []string, err error) {
	var c *pgConn
	for batch := 0; time.Now().Before(end); batch++ {
		if c == nil {
			if c, err = redial(listen); err != nil {
				return nil, err
			}
		}
		var ids []string
		var b []byte
		for k := range batchShort + 1 {
			id, size := fmt.Sprintf("%04x%08x%04x", client+1, batch, k), 1
			if k == batchShort {
				size = valueBytes
			}
			ids = append(ids, id)
			b = append(b, pgQuery(writeOf(id, size))...)
		}
		answered, err := p.sendBatch(c, ids, b)
		if err != nil {
			unanswered = append(unanswered, ids[answered:]...)
			c.Close()
			c = nil
		}
		time.Sleep(batchPause)
	}
	if c != nil {
		c.Close()
	}
	return unanswered, nil
}

// sendBatch sends a batch and reads its answers; answered tells how many came.
func (p *play) sendBatch(c *pgConn, ids []string, b []byte) (answered int, err error) {
	n, err := c.Write(b)
	p.rec.line("%s to %s: written %d of %d bytes, %v", ids[0], ids[len(ids)-1], n, len(b), err)
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	for i, id := range ids {
		a, err := c.answer()
		p.rec.line("%s: %v, %v", id, a, err)
		if err != nil {
			return i, err
		}
	}
	return len(ids), nil
}

// redial connects a client, for some seconds if it must.
func redial(listen string) (c *pgConn, err error) {
	err = waitUntil(5*time.Second, func() error {
		c, err = dialPG(listen)
		return err
	})
	return c, err
}
