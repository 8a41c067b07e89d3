package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	pipelineClients  = 5
	pipelineCommands = 24
	longBytes        = 2 << 20
	longPieces       = 20
	longTime         = 2 * time.Second
)

// pipeline: clients send many reads at once; the value of the first is long, and its server takes two seconds to write it.
func (p *play) pipeline() (string, error) {
	listen, pl, err := p.startPostgres(192, 1024, 4, func(s *pgServer) {
		s.work = func(string) time.Duration { return 100 * time.Millisecond }
		s.run = func(text string) string {
			if strings.Contains(text, "'long'") {
				return strings.Repeat("l", longBytes)
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
		key := "long"
		if k > 0 {
			key = fmt.Sprintf("u%d", k)
		}
		b = append(b, pgQuery(fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%08x%08x,c=catalogue-read,d=1500,cluster=0 */", key, client+1, k))...)
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
