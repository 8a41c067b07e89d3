package distribution

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/goldentest"
)

// scriptHeartbeat is a heartbeat interval that is longer than a test.
const scriptHeartbeat = time.Minute

func scriptSnapshot(version uint64) replication.Snapshot {
	return replication.Snapshot{Version: version, Documents: map[string]replication.Document{"purge/plan": {Key: "purge/plan", Version: version, Value: fmt.Append(nil, "plan ", version)}}}
}

// script is the peer's end of a connection, whose frames are compared with golden files. Each file contains the bytes of one frame.
type script struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func newScript(t *testing.T, conn net.Conn) *script {
	t.Cleanup(func() { _ = conn.Close() })
	return &script{t, conn, bufio.NewReader(conn)}
}

// heartbeatKind is the kind of heartbeat frames, which a subscriber sends at times that the script does not control.
const heartbeatKind = 4

// receive reads the next frame other than a heartbeat and compares it with a golden file.
func (s *script) receive(name string) {
	s.t.Helper()
	_ = s.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		length, err := binary.ReadUvarint(s.in)
		if err != nil {
			s.t.Fatalf("%s: %v", name, err)
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(s.in, body); err != nil {
			s.t.Fatalf("%s: %v", name, err)
		}
		if length > 0 && body[0] == heartbeatKind {
			continue
		}
		goldentest.Check(s.t, "frames/"+name, append(binary.AppendUvarint(nil, length), body...))
		return
	}
}

// send compares a frame with a golden file and writes the frame.
func (s *script) send(name string, frame []byte) {
	s.t.Helper()
	if _, err := s.conn.Write(goldentest.Check(s.t, "frames/"+name, frame)); err != nil {
		s.t.Fatalf("%s: %v", name, err)
	}
}

// frameOf returns a frame as specified in docs/distribution.md, encoded without the package's own code.
func frameOf(kind byte, body ...string) []byte {
	text := strings.Join(body, "")
	return append(append(binary.AppendUvarint(nil, uint64(len(text)+1)), kind), text...)
}

// nameOf returns a name preceded by its length.
func nameOf(name string) string { return string(binary.AppendUvarint(nil, uint64(len(name)))) + name }

// receiveOn returns a channel that receives the messages of the given topics of a bus.
func receiveOn(b bus.Bus, topics ...string) <-chan string {
	messages := make(chan string, len(topics))
	for _, topic := range topics {
		b.Handle(topic, func(from string, body []byte) { messages <- topic + " " + from + " " + string(body) })
	}
	return messages
}

// requireMessages fails unless the next messages are the wanted ones.
func requireMessages(t *testing.T, messages <-chan string, want ...string) {
	t.Helper()
	for _, text := range want {
		if got := <-messages; got != text {
			t.Errorf("got the message %q, want %q", got, text)
		}
	}
}

// A subscriber encodes and decodes frames of every kind as in the golden files.
func TestSubscriberFrames(t *testing.T) {
	dialed := make(chan net.Conn, 1)
	dial := func(context.Context, string) (net.Conn, error) {
		pooler, distributor := net.Pipe()
		dialed <- distributor
		return pooler, nil
	}
	documents := replication.NewReplica(replication.Snapshot{})
	changed := documents.Changed()
	s := Subscribe(SubscriberOptions{Name: "pooler-1", Region: "north", Distributors: []Endpoint{{"distributor-1", "unused", "north"}},
		Resources: []Resource{{Name: "shared", Replica: documents}}, HeartbeatInterval: scriptHeartbeat, Dial: dial})
	defer s.Close()
	messages := receiveOn(s, "quota/grant", "verdict")

	distributor := newScript(t, <-dialed)
	distributor.receive("subscriber_hello")
	distributor.send("welcome", frameOf(2))
	distributor.send("whole", frameOf(7, nameOf("shared"), `{"version":9,"docs":[{"key":"purge/plan","version":9,"value":"cGxhbiA5"}]}`))
	<-changed
	changed = documents.Changed()
	distributor.send("delta", frameOf(6, nameOf("shared"), `{"since":9,"version":10,"docs":[{"key":"limits/set","version":10,"value":"c2V0"}],"gone":["purge/plan"]}`))
	<-changed
	if got := documents.Snapshot(); got.Version != 10 || len(got.Documents) != 1 || string(got.Documents["limits/set"].Value) != "set" {
		t.Errorf("got the documents %+v", got)
	}
	confirmedAt := time.Now().Add(-time.Hour).UnixNano()
	_, _ = distributor.conn.Write(frameOf(5, fmt.Sprintf(`{"n":42,"f":[{"f":"shared","v":10,"t":%d,"a":5}]}`, confirmedAt)))
	distributor.send("message_down", frameOf(8, nameOf("pooler-1"), nameOf("pooler-2"), nameOf("quota/grant"), "body 1"))
	distributor.send("cast_down", frameOf(9, nameOf("pooler-2"), nameOf("verdict"), "body 2"))
	requireMessages(t, messages, "quota/grant pooler-2 body 1", "verdict pooler-2 body 2")
	if got := s.Size(); got != 42 {
		t.Errorf("got %d poolers, want 42", got)
	}
	if at := documents.ConfirmedAt(); at.UnixNano() != confirmedAt {
		t.Errorf("got documents confirmed at %v, want %v", at, time.Unix(0, confirmedAt))
	}

	if err := s.Send(t.Context(), "pooler-2", "quota/ask", []byte("body 3")); err != nil {
		t.Fatal(err)
	}
	distributor.receive("message_up")
	s.Broadcast("verdict", []byte("body 4"))
	distributor.receive("cast_up")
}

// scriptedDistributor is a distributor of the resource "shared", version 9. Its peers, including distributor-2, are scripts.
type scriptedDistributor struct {
	*Distributor
	t         *testing.T
	documents *replication.Replica
	link      *script // distributor-2's end of the link to it
}

func newScriptedDistributor(t *testing.T) *scriptedDistributor {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dialed := make(chan net.Conn, 1)
	dial := func(context.Context, string) (net.Conn, error) {
		own, other := net.Pipe()
		dialed <- other
		return own, nil
	}
	documents := replication.NewReplica(scriptSnapshot(9))
	d := NewDistributor(listener, DistributorOptions{Name: "distributor-1", Region: "north", Distributors: []Endpoint{{"distributor-2", "unused", "south"}},
		Resources: []Resource{{Name: "shared", Replica: documents}}, HeartbeatInterval: scriptHeartbeat, Dial: dial})
	t.Cleanup(d.Close)
	return &scriptedDistributor{d, t, documents, newScript(t, <-dialed)}
}

// connect opens a connection to the distributor.
func (d *scriptedDistributor) connect() *script {
	conn, err := net.Dial("tcp", d.listener.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	return newScript(d.t, conn)
}

// waitFor fails unless a condition holds within ten seconds.
func (d *scriptedDistributor) waitFor(what string, holds func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			_, all := d.Summary()
			d.t.Fatalf("%s: got %d poolers, %d streams and the summary %+v", what, d.Size(), d.StreamCount(), all)
		}
	}
}

// welcomeLink performs the handshake of the link to distributor-2.
func (d *scriptedDistributor) welcomeLink() {
	d.link.receive("link_hello")
	_, _ = d.link.conn.Write(frameOf(2))
	d.link.receive("link_holds_all")
}

// welcomePooler opens a stream as pooler-1 and receives the first update.
func (d *scriptedDistributor) welcomePooler() *script {
	pooler := d.connect()
	pooler.send("hello", frameOf(1, `{"protocol":1,"name":"pooler-1","region":"north","has":{"shared":0},"status":{"build":"1.4","config":"c0ffee","token":7,"seq":3}}`))
	pooler.receive("distributor_welcome")
	pooler.receive("distributor_whole")
	pooler.receive("distributor_word")
	return pooler
}

// A distributor encodes the frames that it sends to a pooler, and the refusal of another protocol version, as in the golden files.
func TestDistributorFrames(t *testing.T) {
	d := newScriptedDistributor(t)
	d.welcomeLink()
	newer := d.connect()
	newer.send("hello_of_another_protocol", frameOf(1, `{"protocol":2,"name":"pooler-9","status":{}}`))
	newer.receive("refusal")
	pooler := d.welcomePooler()
	d.link.receive("link_holds_came")
	d.documents.Install(scriptSnapshot(10))
	pooler.receive("distributor_delta")
	pooler.receive("distributor_newer_word")
	if err := d.Send(t.Context(), "pooler-1", "quota/grant", []byte("body 3")); err != nil {
		t.Fatal(err)
	}
	pooler.receive("distributor_message")
}

// A distributor decodes a pooler's frames of every kind as in the golden files, and so it encodes a broadcast that it forwards.
func TestDistributorTakesPoolerFrames(t *testing.T) {
	d := newScriptedDistributor(t)
	d.welcomeLink()
	messages := receiveOn(d, "quota/ask", "verdict")
	pooler := d.welcomePooler()
	d.link.receive("link_holds_came")
	pooler.send("live", frameOf(4, `{"has":{"shared":10},"status":{"build":"1.5","config":"c0ffee","token":7,"seq":4}}`))
	pooler.send("message_to_distributor", frameOf(8, nameOf("distributor-1"), nameOf("pooler-1"), nameOf("quota/ask"), "body 1"))
	pooler.send("cast_to_distributor", frameOf(9, nameOf("pooler-1"), nameOf("verdict"), "body 2"))
	requireMessages(t, messages, "quota/ask pooler-1 body 1", "verdict pooler-1 body 2")
	d.link.receive("link_cast")
	own, _ := d.Summary()
	want := Summary{Poolers: 1, OldestVersion: 10, Builds: map[string]int{"1.5": 1}, Configs: map[string]int{"c0ffee": 1}}
	if fmt.Sprint(own) != fmt.Sprint(want) {
		t.Errorf("got the summary %v, want %v", own, want)
	}
}

// A distributor decodes another distributor's frames of every kind as in the golden files.
func TestDistributorTakesLinkFrames(t *testing.T) {
	d := newScriptedDistributor(t)
	other := d.connect()
	other.send("hello_of_a_distributor", frameOf(1, `{"protocol":1,"name":"distributor-2","region":"south","distributor":true,"status":{}}`))
	other.receive("distributor_welcome")
	other.send("holds", frameOf(10, `{"all":true,"came":["pooler-2","pooler-3"]}`))
	other.send("holds_went", frameOf(10, `{"went":["pooler-3"]}`))
	other.send("live_of_a_distributor", frameOf(4, `{"poolers":1,"behind":1,"oldest":8,"builds":{"1.4":1},"configs":{"c0ffee":1}}`))
	d.waitFor("the poolers of distributor-2", func() bool {
		_, all := d.Summary()
		return all.Poolers == 1 && all.Lagging == 1 && all.OldestVersion == 8 && d.Size() == 3
	})
}

// A pooler that arrives at another distributor has left this one, which closes its stream. Complete holdings, sent when a link opens, do
// not tell when a pooler arrived, and close no stream.
func TestMovedPoolerIsDisconnected(t *testing.T) {
	d := newScriptedDistributor(t)
	d.welcomeLink()
	messages := receiveOn(d, "quota/ask")
	pooler := d.welcomePooler()
	other := d.connect()
	other.send("hello_of_a_distributor", frameOf(1, `{"protocol":1,"name":"distributor-2","region":"south","distributor":true,"status":{}}`))
	other.receive("distributor_welcome")
	_, _ = other.conn.Write(frameOf(10, `{"all":true,"came":["pooler-1"]}`))
	d.waitFor("complete holdings", func() bool { return d.Size() == 4 })
	pooler.send("message_to_distributor", frameOf(8, nameOf("distributor-1"), nameOf("pooler-1"), nameOf("quota/ask"), "body 1"))
	requireMessages(t, messages, "quota/ask pooler-1 body 1")
	_, _ = other.conn.Write(frameOf(10, `{"came":["pooler-1"]}`))
	d.waitFor("end of the old stream", func() bool { return d.StreamCount() == 0 })
}
