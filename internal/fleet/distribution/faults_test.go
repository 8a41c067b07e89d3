package distribution

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A reader that accepts no data is disconnected when any queue limit is exceeded and delays no other pooler. It then receives what it
// missed from another distributor, as deltas.
func TestSlowReader(t *testing.T) {
	for what, send := range map[string]func(d *Distributor, i int){
		"bytes":      func(d *Distributor, i int) { d.Broadcast(fmt.Sprint("t", i%100), make([]byte, 64<<10)) },
		"broadcasts": func(d *Distributor, i int) { d.Broadcast(fmt.Sprint("t", i), []byte("x")) },
		"frames":     func(d *Distributor, _ int) { _ = d.Send(context.Background(), "n5", "t", []byte("x")) },
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSettledCluster(t, 3, 1, 30)
				defer c.close()
				distributor := c.poolers["n5"].Distributor()
				var received atomic.Int64
				c.poolers["n7"].Handle("t1", func(string, []byte) { received.Add(1) })
				before := c.trafficOf(c.poolerNames()...)
				c.network.cut(distributor, "n5", true)
				start := time.Now()
				for i := 0; i < 1200 && c.countLogged("disconnected n5: ") == 0; i++ {
					send(c.distributors[distributor], i)
					synctest.Wait()
				}
				c.write("p/a", what)
				c.requireNewest(0, "the other poolers", "n5")
				if waited := time.Since(start); waited > 0 || c.countLogged("disconnected n5: ") != 1 || c.countLogged("disconnected ") != 1 {
					t.Errorf("after %v: got the log %q, want n5 alone disconnected, once and without delay", waited, c.logLines)
				}
				if what != "frames" && received.Load() == 0 {
					t.Error("another pooler has received no broadcast")
				}
				c.requireNewest(recoveryLimit, "the slow reader")
				if snapshots := c.trafficSince(before, c.poolerNames()...).sum("in whole").frames; snapshots > 0 {
					t.Errorf("got %v snapshots, want none", snapshots)
				}
			})
		})
	}
}

// faultyDistributor is a distributor that violates the protocol.
type faultyDistributor struct {
	frames    [][]byte // sent to each pooler that connects
	announces uint64   // version that it announces at each heartbeat; 0 for no announcements
	want      string   // text expected in the pooler's log
}

// faultyDistributors returns the cases of TestFaultyDistributor. They run under the name x, as the pooler's preferred distributor.
func faultyDistributors() map[string]faultyDistributor {
	welcome := encodeFrame(kindWelcome)
	update := func(kind frameKind, resource, json string) []byte {
		return encodeFrame(kind, prependNames([]byte(json), resource))
	}
	const ended, refused = "the stream to x has ended", "x refused this pooler: protocol 2"
	httpAnswer := []byte("HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request")
	halfDocument := `{"since":0,"version":1000001,"docs":[{"key":"p/x","version":1000000}]}`
	return map[string]faultyDistributor{
		"a delta that does not apply":   {[][]byte{welcome, update(kindDelta, "shared", `{"since":1000000,"version":1000001}`)}, 0, ended},
		"a delta with half a document":  {[][]byte{welcome, update(kindDelta, "shared", halfDocument)}, 0, ended},
		"a malformed delta":             {[][]byte{welcome, update(kindDelta, "shared", `{"since":0,"ver`)}, 0, ended},
		"a malformed snapshot":          {[][]byte{welcome, update(kindSnapshot, "shared", `[]`)}, 0, ended},
		"a frame that is too long":      {[][]byte{welcome, binary.AppendUvarint(nil, maxDistributorFrame+1)}, 0, ended},
		"an unknown resource":           {[][]byte{welcome, update(kindDelta, "other", `{"since":0,"version":1000001}`)}, 0, ended},
		"an unknown kind":               {[][]byte{welcome, encodeFrame(99)}, 0, ended},
		"a malformed announcement":      {[][]byte{welcome, encodeFrame(kindAnnouncement, []byte("{"))}, 0, ended},
		"another protocol":              {[][]byte{encodeJSONFrame(kindRefusal, refusal{Reason: "protocol 2, here it is 1"})}, 0, refused},
		"an answer of another protocol": {[][]byte{httpAnswer}, 0, "x"},
		"another log":                   {[][]byte{welcome}, 1, ended},
	}
}

// run serves all connections of a listener until it is closed. connections counts them.
func (b faultyDistributor) run(listener net.Listener, running *sync.WaitGroup, connections *int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		*connections++
		running.Go(func() { b.serve(conn, running) })
	}
}

// serve serves one connection.
func (b faultyDistributor) serve(conn net.Conn, running *sync.WaitGroup) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if _, err := readFrame(reader, maxPoolerFrame); err != nil {
		return
	}
	for _, frame := range b.frames {
		_, _ = conn.Write(frame)
	}
	running.Go(func() { _, _ = reader.WriteTo(new(bytes.Buffer)) }) // ends with the connection
	for err := error(nil); err == nil && b.announces > 0; time.Sleep(testHeartbeat) {
		resource := resourceAnnouncement{Resource: "shared", Version: b.announces, ConfirmedAtUnixNano: time.Now().UnixNano()}
		_, err = conn.Write(encodeJSONFrame(kindAnnouncement, announcement{1, []resourceAnnouncement{resource}}))
	}
	time.Sleep(testHeartbeat)
}

// A pooler disconnects from a distributor that violates the protocol, and logs the reason once no matter how often it reconnects. Its
// replica is unharmed, and it receives each change from another distributor.
func TestFaultyDistributor(t *testing.T) {
	for what, faulty := range faultyDistributors() {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2, 1)
				defer c.close()
				c.write("p/a", "1")
				c.endpoints = append(c.endpoints, Endpoint{"x", "x", "r9"})
				time.Sleep(2 * testHeartbeat)
				c.startPooler(0, 1, "r9") // prefers x
				c.watchReplica("n0", t.Context().Done())
				c.requireNewest(recoveryLimit, "the start")
				listener := c.network.listen("x")
				connections := 0
				var running sync.WaitGroup
				running.Go(func() { faulty.run(listener, &running, &connections) })
				for i := range 10 {
					c.write("p/a", fmt.Sprint("change ", i))
					c.requireNewest(recoveryLimit, what)
					c.passHeartbeats(preferredRetryHeartbeats)
				}
				if lines := c.countLogged(faulty.want); lines != 1 || connections < 4 {
					t.Errorf("got %d log lines after %d connections, want 1 after 4 or more: %q", lines, connections, c.logLines)
				}
				if faulty.announces > 0 && c.countLogged("is newer (version") != 1 {
					t.Errorf("got the log %q, want a line that the replica is newer", c.logLines)
				}
				c.poolers["n0"].Close()
				_ = listener.Close()
				running.Wait()
			})
		})
	}
}

// faultyPooler is a peer that violates the protocol towards a distributor.
type faultyPooler struct {
	hello hello
	frame []byte // sent after the hello; nil if the hello itself is refused
	want  string // text expected in the distributor's log
}

// faultyPoolers returns the cases of TestFaultyPooler.
func faultyPoolers() map[string]faultyPooler {
	validHello := hello{Protocol: protocolVersion, Name: "bad"}
	message := func(from string) []byte { return encodeFrame(kindMessage, prependNames([]byte("x"), "n0", from, "t")) }
	return map[string]faultyPooler{
		"another protocol":                   {hello{Protocol: 2, Name: "bad"}, nil, "protocol 2, here it is 1"},
		"no name":                            {hello{Protocol: protocolVersion}, nil, "empty or too long"},
		"a long name":                        {hello{Protocol: protocolVersion, Name: strings.Repeat("n", maxNameLength+1)}, nil, "empty or too long"},
		"a message with a false sender":      {validHello, message("n1"), "sender is n1"},
		"a broadcast with a false sender":    {validHello, encodeFrame(kindBroadcast, prependNames([]byte("x"), "n1", "t")), "sender is n1"},
		"a frame that is too long":           {validHello, encodeFrame(kindMessage, make([]byte, maxPoolerFrame)), "frame too long"},
		"an unknown kind":                    {validHello, encodeFrame(99), "kind 99"},
		"holdings from a pooler":             {validHello, encodeJSONFrame(kindHoldings, holdings{Complete: true}), "holds"},
		"a malformed heartbeat":              {validHello, encodeFrame(kindHeartbeat, []byte("{")), "malformed frame"},
		"malformed holdings":                 {hello{Protocol: protocolVersion, Name: "d0", Distributor: true}, encodeFrame(kindHoldings, []byte("{")), "malformed frame"},
		"a link from an unknown distributor": {hello{Protocol: protocolVersion, Name: "bad", Distributor: true}, nil, "not among those named here"},
	}
}

// connectOnce connects to d0, and fails unless the hello is refused or the frame after it ends the stream.
func (b faultyPooler) connectOnce(t *testing.T, c *cluster) {
	t.Helper()
	conn, err := c.network.dialer("bad")(t.Context(), "d0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { // ends with the connection
		if _, err := conn.Write(encodeJSONFrame(kindHello, b.hello)); err == nil && b.frame != nil {
			_, _ = conn.Write(b.frame)
		}
	})
	time.Sleep(testHeartbeat / 10)
	answer, _ := bufio.NewReader(conn).Peek(2)
	if refused := kindOfFrame(append(answer, 0)) == kindRefusal; refused != (b.frame == nil) {
		t.Errorf("got the answer %q", answer)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testHeartbeat / 10))
	if _, err = bufio.NewReader(conn).WriteTo(new(bytes.Buffer)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open")
	}
	_ = conn.Close()
	running.Wait()
}

// A peer that violates the protocol is refused or disconnected. The reason is logged once no matter how often the peer reconnects, and no
// pooler receives what it sends.
func TestFaultyPooler(t *testing.T) {
	for what, faulty := range faultyPoolers() {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSettledCluster(t, 1, 1, 2)
				defer c.close()
				c.poolers["n0"].Handle("t", func(from string, _ []byte) { t.Errorf("n0 has received a message from %s", from) })
				for range 3 {
					faulty.connectOnce(t, c)
				}
				if c.countLogged(faulty.want) != 1 || len(c.logLines) != 1 {
					t.Errorf("got the log %q, want one line with %q", c.logLines, faulty.want)
				}
			})
		})
	}
}

// Sending a message of a size that would make the receiver end the stream returns an error, and the stream stays open.
func TestMessageSizes(t *testing.T) {
	long := strings.Repeat("n", maxNameLength+1)
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 1, 1, 2)
		defer c.close()
		for _, send := range []struct {
			to, topic string
			bytes     int
		}{{"n1", "t", maxPoolerFrame}, {"n1", "t", maxPoolerFrame - 10}, {"n1", "", 1}, {"", "t", 1}, {long, "t", 1}, {"n1", long, 1}} {
			if err := c.poolers["n0"].Send(t.Context(), send.to, send.topic, make([]byte, send.bytes)); err == nil {
				t.Errorf("to %.9q, on %.9q, %d bytes: got no error", send.to, send.topic, send.bytes)
			}
			c.poolers["n0"].Broadcast(cmp.Or(send.topic, long), make([]byte, max(send.bytes, maxPoolerFrame-10)))
		}
		c.passHeartbeats(3)
		if c.countLogged("has ended") > 0 {
			t.Errorf("the stream has ended: %q", c.logLines)
		}
	})
}
