package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	pipelineClients  = 5
	pipelineCommands = 24
	pipelineWrites   = 3 // the last of them
	longBytes        = 2 << 20
	longPieces       = 20
	longTime         = 2 * time.Second
)

// pipeline: clients send many commands at once; the value of the first is long, and its server takes two seconds to write it.
func (p *play) pipeline() (string, error) {
	listen, pl, err := p.startPostgres(192, 1024, 4, func(s *pgServer) {
		s.work = func(string) time.Duration { return 100 * time.Millisecond }
		s.run = func(text string) string {
			switch {
			case strings.Contains(text, "'long'"):
				return strings.Repeat("l", longBytes)
			case strings.HasPrefix(text, "INSERT"):
				return "stored"
			}
			return strings.Repeat("s", valueBytes)
		}
		if p.trouble {
			s.pieces, s.pause = longPieces, longTime/longPieces
		}
	})
	if err != nil {
		return "", err
	}
	defer pl.stop()
	lost := 0
	for client := range pipelineClients {
		n, err := p.pipelineClient(listen, client)
		if err != nil {
			return "", err
		}
		lost += n
	}
	if lost > 0 {
		return fmt.Sprintf("the pooler ended connections with %d of %d commands without a whole answer; no server and no client had ended one",
			lost, pipelineClients*pipelineCommands), nil
	}
	return "", nil
}

// pipelineClient sends its commands at once and returns how many got no whole answer.
func (p *play) pipelineClient(listen string, client int) (lost int, err error) {
	c, err := dialPG(listen)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	var b []byte
	for k := range pipelineCommands {
		b = append(b, pgQuery(pipelineCommand(client, k))...)
	}
	if err := copyAll(c, b); err != nil {
		return 0, err
	}
	p.rec.line("client %d: sent commands 0 to %d", client, pipelineCommands-1)
	for k := range pipelineCommands {
		a, err := c.answer()
		p.rec.line("client %d: answer %d: %v, a value of %d bytes, %v", client, k, a, len(a.value), err)
		if err != nil {
			return pipelineCommands - k, nil
		}
	}
	return 0, nil
}

// pipelineCommand is the text of a client's command: the long read, short reads, and writes.
func pipelineCommand(client, k int) string {
	id := fmt.Sprintf("%08x%08x", client+1, k)
	switch {
	case k == 0:
		return fmt.Sprintf("SELECT val FROM state WHERE uid = 'long' /* id=%s,c=catalogue-read,d=1500,cluster=0 */", id)
	case k < pipelineCommands-pipelineWrites:
		return fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%s,c=catalogue-read,d=1500,cluster=0 */", id, id)
	}
	return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', '\\x01') RETURNING val /* id=%s,c=booking-write,d=3000,k=%s,cluster=0 */", id, id, id)
}
