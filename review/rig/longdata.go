package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// mysqlFile returns the file of the MySQL frontend, as deploy/mysql.json.
func mysqlFile(listen, inventory string) map[string]any {
	return map[string]any{"enabled": true, "listen": listen, "inventory": inventory, "user": "threadsail", "password": "", "database": "lessons",
		"client":    map[string]any{"user": "", "password": ""},
		"heartbeat": "SELECT ROUND(UNIX_TIMESTAMP(MAX(ts)) * 1000) FROM heartbeat.heartbeat",
		"defaults": map[string]any{"read": map[string]any{"class": "catalogue-read", "cluster": 0},
			"write": map[string]any{"class": "booking-write", "cluster": 0}},
		"reload_ms": 1000, "probe_timeout_ms": 250}
}

// writeInventory writes the servers of the MySQL frontend, and returns the file's path.
func (p *play) writeInventory(servers []*myServer) (path string, err error) {
	path = filepath.Join(p.dir, "inventory.csv")
	text := "name,host,port,zone,cluster,state\n"
	for _, s := range servers {
		host, port, _ := strings.Cut(s.addr, ":")
		text += fmt.Sprintf("%s,%s,%s,pest-east,0,ready\n", s.id, host, port)
	}
	return path, os.WriteFile(path, []byte(text), 0o644)
}

const (
	leaveRounds  = 150
	leaveClients = 8 // connections of one client process
)

// documents is what the servers hold: the body of each row, as the last EXECUTE gave it.
type documents struct {
	mu    sync.Mutex
	byRow map[string]string
}

func (d *documents) store(row, body string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byRow[row] = body
}

func (d *documents) body(row string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byRow[row]
}

// startMySQL starts a primary and a replica on MySQL's protocol and a pooler whose MySQL frontend is enabled, and waits until that
// is ready. set completes a server before the pooler starts.
func (p *play) startMySQL(set func(*myServer)) (listen string, pl *pooler, err error) {
	var servers []*myServer
	for i := range 2 {
		s, err := startMyServer(fmt.Sprintf("db%d", i+1), i == 0, p.rec)
		if err != nil {
			return "", nil, err
		}
		set(s)
		servers = append(servers, s)
	}
	d, err := startDiscovery(nil)
	if err != nil {
		return "", nil, err
	}
	postgres, err := freeAddr()
	if err != nil {
		return "", nil, err
	}
	if listen, err = freeAddr(); err != nil {
		return "", nil, err
	}
	inventory, err := p.writeInventory(servers)
	if err != nil {
		return "", nil, err
	}
	pl, err = startPooler(p.root, p.dir, map[string]any{"PROXY_MYSQL": mysqlFile(listen, inventory),
		"PROXY_CONFIG": poolerConfig(postgres, d.addr, 192, 1024, settings(), nil)})
	if err != nil {
		return "", nil, err
	}
	if err := waitUntil(10*time.Second, func() error { return pgIsReady(postgres) }); err != nil {
		pl.stop()
		return "", nil, err
	}
	time.Sleep(time.Second) // the pooler finds the primary
	return listen, pl, nil
}

// longData: tools store documents by a prepared INSERT whose document they send ahead. Tool A runs in a process with eight
// connections; with the disruption that process ends before it has its answers. Tool B sends the same statement for rows of its own.
func (p *play) longData() (string, error) {
	stored := &documents{byRow: map[string]string{}}
	listen, pl, err := p.startMySQL(func(s *myServer) {
		s.execute = func(text string, params []string, _ bool) []byte {
			if len(params) == 2 {
				stored.store(params[0], params[1])
				p.rec.line("%s: run %q with %q", s.id, text, params)
			}
			return myPacket(nil, 1, myOK())
		}
		s.parse = func() time.Duration { return 20*time.Millisecond + rand.N(60*time.Millisecond) }
	})
	if err != nil {
		return "", err
	}
	defer pl.stop()
	broken, served := 0, 0
	for round := range leaveRounds {
		text := fmt.Sprintf("INSERT INTO course_%d_documents (uid, body) VALUES (?, ?)", round)
		if err := p.toolA(listen, text, round); err != nil {
			return "", err
		}
		time.Sleep(100 * time.Millisecond)
		ok, bad := p.toolB(listen, text, round, stored)
		served += ok
		broken += bad
	}
	p.rec.line("tool B: %d rows served, %d of them hold what it did not send", served, broken)
	if served == 0 {
		return "", errors.New("no row of tool B was served")
	}
	if broken > 0 {
		return fmt.Sprintf("a server has run %d of %d statements of tool B with a value that no client sent", broken, served), nil
	}
	return "", nil
}

// toolA sends its statements. With the disruption it ends before it has the answers.
func (p *play) toolA(listen, text string, round int) error {
	var conns []*myConn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for i := range leaveClients {
		c, err := dialMy(listen, "tool", "lessons")
		if err != nil {
			return err
		}
		conns = append(conns, c)
		id, err := c.prepare(text)
		if err != nil {
			return err
		}
		row, body := fmt.Sprintf("a-%d-%d", round, i), fmt.Sprintf("[tool A: %d %d]", round, i)
		if err := c.executeLong(id, row, body); err != nil {
			return err
		}
		p.rec.line("tool A: sent row %s, %q", row, body)
	}
	if p.trouble {
		time.Sleep(20*time.Millisecond + rand.N(50*time.Millisecond))
		p.rec.line("tool A: ends")
		return nil
	}
	for i, c := range conns {
		a, err := c.answer(true)
		p.rec.line("tool A: answer %d: %v %v", i, a, err)
	}
	return nil
}

// toolB stores rows of its own and waits for the answers. It returns how many were served, and how many of those hold another body.
func (p *play) toolB(listen, text string, round int, stored *documents) (served, broken int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range leaveClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			row, body := fmt.Sprintf("b-%d-%d", round, i), fmt.Sprintf("[tool B: %d %d]", round, i)
			a, err := p.storeDocument(listen, text, row, body)
			p.rec.line("tool B: answer %s: %v %v", row, a, err)
			if err != nil || a.code != 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			if got := stored.body(row); got != body {
				broken++
				p.rec.line("tool B: row %s: sent %q, the server holds %q", row, body, got)
			}
		}()
	}
	wg.Wait()
	return served, broken
}

func (p *play) storeDocument(listen, text, row, body string) (a myAnswer, err error) {
	c, err := dialMy(listen, "tool", "lessons")
	if err != nil {
		return a, err
	}
	defer c.Close()
	id, err := c.prepare(text)
	if err != nil {
		return a, err
	}
	p.rec.line("tool B: sends row %s, %q", row, body)
	if err := c.executeLong(id, row, body); err != nil {
		return a, err
	}
	return c.answer(true)
}
