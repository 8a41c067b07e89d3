package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	spoiltClients = 8
	spoiltTime    = 5 * time.Second
	spoiltAt      = 200 // the number of the answer that arrives spoilt
	spoiltPause   = 20 * time.Millisecond

	oidBool = 16
	oidText = 25
)

// extended is a stand-in server on PostgreSQL's extended query protocol: a primary.
type extended struct {
	addr    string
	rows    atomic.Int64
	spoilAt int64 // the number of the statement whose answer is spoilt; 0: none
	rec     *record
}

func startExtended(spoilAt int64, rec *record) (*extended, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &extended{addr: l.Addr().String(), spoilAt: spoilAt, rec: rec}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(newPGConn(c))
		}
	}()
	return s, nil
}

func (s *extended) serve(c *pgConn) {
	defer c.Close()
	if c.startup() != nil {
		return
	}
	hello := append(pgMessage('R', "\x00\x00\x00\x00"), pgMessage('K', "\x00\x00\x00\x01\x00\x00\x00\x02")...)
	if copyAll(c, append(hello, pgReady()...)) != nil {
		return
	}
	var out []byte
	text, ready := "", pgReady()
	for {
		kind, body, err := c.next()
		if err != nil || kind == 'X' {
			return
		}
		switch kind {
		case 'P': // Parse, of the unnamed statement
			text = strings.Trim(string(body), "\x00")
			out = append(out, pgMessage('1')...)
		case 'B': // Bind
			out = append(out, pgMessage('2')...)
		case 'E': // Execute, whose answer begins with what Describe asked for
			answer, spoil := s.execute(text)
			out = append(out, answer...)
			if spoil {
				ready[4]-- // its length does not fit: 4 in place of 5, so that it has no body
			}
		case 'S': // Sync
			if copyAll(c, append(out, ready...)) != nil {
				return
			}
			out, ready = nil, pgReady()
		}
	}
}

// execute runs a statement and returns its description, its row and its end.
func (s *extended) execute(text string) (answer []byte, spoil bool) {
	if strings.Contains(text, "pg_is_in_recovery") {
		return pgTextRow("f", oidBool), false
	}
	n := s.rows.Add(1)
	s.rec.line("server: run %s", requestID(text))
	if spoil = n == s.spoilAt; spoil {
		s.rec.line("server: the answer to %s is spoilt: the length of ReadyForQuery is 4 in place of 5", requestID(text))
	}
	return pgTextRow("9 o'clock", oidText), spoil
}

// pgTextRow is the answer of one row of one column in text form, of a type.
func pgTextRow(value string, oid byte) []byte {
	b := pgMessage('T', "\x00\x01val\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00", string(oid), "\xff\xff\xff\xff\xff\xff\x00\x00")
	b = append(b, pgMessage('D', "\x00\x01\x00\x00\x00", string(byte(len(value))), value)...)
	return append(b, pgMessage('C', "SELECT 1\x00")...)
}

// spoilt: old tools of MySQL's protocol read from a new server, through the pooler's translation. One of the answers is spoilt.
func (p *play) spoilt() (string, error) {
	spoilAt := int64(0)
	if p.trouble {
		spoilAt = spoiltAt
	}
	server, err := startExtended(spoilAt, p.rec)
	if err != nil {
		return "", err
	}
	listen, pl, err := p.startTranslating(server)
	if err != nil {
		return "", err
	}
	defer pl.stop()
	end := time.Now().Add(spoiltTime)
	var served, unanswered atomic.Int64
	var wg sync.WaitGroup
	for i := range spoiltClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dialMy(listen, "tool", "lessons")
			if err != nil {
				p.rec.line("client %d: %v", i, err)
				return
			}
			defer c.Close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("%08x%08x", i+1, k)
				p.rec.line("client %d: sends %s", i, id)
				if err := c.command(comQuery, fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%s,c=catalogue-read,d=1500,cluster=0 */", id, id)); err != nil {
					return
				}
				a, err := c.answer(false)
				p.rec.line("client %d: answer %s: %v %v", i, id, a, err)
				if err != nil {
					unanswered.Add(1)
					return
				}
				if a.code == 0 {
					served.Add(1)
				}
				time.Sleep(spoiltPause)
			}
		}()
	}
	wg.Wait()
	wait := time.Duration(0)
	if unanswered.Load() > 0 { // the process may be about to end
		wait = 3 * time.Second
	}
	select {
	case err := <-pl.exited:
		p.rec.line("platform: the pooler has ended by itself: %v", err)
		return fmt.Sprintf("the pooler has ended by itself (%v); %d clients got no answer to what they had sent", err, unanswered.Load()), nil
	case <-time.After(wait):
	}
	if served.Load() == 0 {
		return "", errors.New("no request was served")
	}
	p.rec.line("%d requests served", served.Load())
	return "", nil
}

// startTranslating starts a pooler whose MySQL frontend has a PostgreSQL server.
func (p *play) startTranslating(server *extended) (listen string, pl *pooler, err error) {
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
	host, port, _ := strings.Cut(server.addr, ":")
	inventory := filepath.Join(p.dir, "inventory.csv")
	text := "name,host,port,zone,cluster,state,weight,wire\ndb1," + host + "," + port + ",pest-east,0,ready,1,postgres\n"
	if err := os.WriteFile(inventory, []byte(text), 0o644); err != nil {
		return "", nil, err
	}
	mysql := mysqlFile(listen, inventory)
	mysql["heartbeat"] = ""
	pl, err = startPooler(p.root, p.dir, map[string]any{"PROXY_MYSQL": mysql,
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
