package mysql

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/lab/standin"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/transport"
)

// idleBackend is a dispatch.Backend whose attempts and probes never end.
type idleBackend struct{ upstream.Connector }

type idleCall struct{}

func (idleCall) Abort() {}

func (idleBackend) Send(string, any, time.Duration, dispatch.AttemptCallbacks) dispatch.Call {
	return idleCall{}
}
func (idleBackend) Probe(string, func(dispatch.AttemptResult)) dispatch.Call { return idleCall{} }
func (idleBackend) CloseIdle(string)                                         {}

// connectSession starts a frontend without servers and returns its loop, a client and the client's session.
func connectSession(t *testing.T) (*dispatch.EventLoop, *standin.OldClient, *session) {
	t.Helper()
	loop, budget := dispatch.NewEventLoop(), transport.NewBudget(9)
	dispatcher, err := dispatch.New(loop, idleBackend{}, dispatch.Options{MaxOpen: 9, ProbeTimeout: time.Minute, Watch: func() {}, Log: func(string) {},
		Settings: policy.Settings{MaxAttempts: 1, Classes: []policy.Class{{Name: "any", TotalTimeout: time.Minute, PriorityWeight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	const memory = 1 << 20
	frontend, err := Listen(loop, func(accept func(*transport.Conn)) (*transport.Listener, error) {
		return transport.Listen(loop, budget, "127.0.0.1:0", accept)
	}, dispatcher, &config.MySQL{}, connlimit.New(loop, 9, memory, memory), &routes.Table{})
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() { loop.Run(); close(stopped) }()
	t.Cleanup(func() {
		loop.Post(frontend.Terminate)
		loop.Stop()
		<-stopped
	})
	client, err := standin.DialOld(frontend.Addr(), standin.ClientUser, standin.ClientPassword, standin.Latin2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	sessions := make(chan *session)
	loop.Post(func() { sessions <- frontend.sessionsByThread[client.Thread] })
	return loop, client, <-sessions
}

// A discarded EXECUTE must leave its statement with the parameter types that it has sent, also if they arrive in pieces and if others were
// in force: the next EXECUTE carries none, and its values would be read by the wrong ones.
func TestShedExecuteLeavesItsTypes(t *testing.T) {
	const typeLong, typeBlob = 0x03, 0xfc
	oldTypes, newTypes := []byte{typeLong, 0}, []byte{typeBlob, 0}
	execute := mysql.Execute{Nulls: []byte{0}, Types: newTypes, Values: make([]byte, 2*transport.DefaultReadSize)}
	withTypes := mysql.Append(nil, 0, execute.Payload(1))
	typesAt := packetHeaderBytes + mysql.ExecuteHeadSize(1) - len(newTypes)
	withoutTypes := bytes.Clone(withTypes)
	withoutTypes[typesAt-1] = 0
	const malformedAt = packetHeaderBytes + 6 // the iterations, which are 1
	malformed := bytes.Clone(withTypes)
	malformed[malformedAt] = 2
	for _, test := range []struct {
		name      string
		packet    []byte
		arrived   int // bytes that have arrived when the packet is discarded
		wantTypes []byte
	}{
		{"whole types", withTypes, transport.DefaultReadSize, newTypes},
		{"no types yet", withTypes, shedHeaderBytes, newTypes},
		{"half of the types", withTypes, typesAt + 1, newTypes},
		{"types are not sent", withoutTypes, transport.DefaultReadSize, oldTypes},
		{"malformed", malformed, transport.DefaultReadSize, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop, client, s := connectSession(t)
			types := make(chan []byte, 1)
			loop.Post(func() {
				prepared := &statement{paramCount: 1, paramTypes: oldTypes}
				s.statements[1] = prepared
				s.Data(loop.Now(), test.packet[:test.arrived])
				s.Shed()
				for _, b := range test.packet[test.arrived:] {
					s.Data(loop.Now(), []byte{b})
				}
				types <- prepared.paramTypes
			})
			if answer, err := client.Receive(mysql.ComStmtExecute); err != nil || answer[0][0] != 0xff {
				t.Errorf("the EXECUTE is answered with %x, %v, want an error", answer, err)
			}
			if got := <-types; !bytes.Equal(got, test.wantTypes) {
				t.Errorf("the statement has the types %x, want %x", got, test.wantTypes)
			}
		})
	}
}

// Two messages of a client that does not read its answers are discarded one after the other. Each must get its rejection, or the client
// takes the answer to its next command for the one that is missing.
func TestEachShedMessageIsRejected(t *testing.T) {
	loop, client, s := connectSession(t)
	const unread = 4 << 20 // more than the kernel takes, with buffers of a fixed size at both ends
	if err := client.Conn.(*net.TCPConn).SetReadBuffer(transport.MaxReadSize); err != nil {
		t.Fatal(err)
	}
	query := mysql.Append(nil, 0, append([]byte{mysql.ComQuery}, bytes.Repeat([]byte("x"), 2*transport.DefaultReadSize)...))
	half := len(query) / 2
	discarded := make(chan struct{}) // the client reads nothing before
	loop.Post(func() {
		defer close(discarded)
		s.Conn.LimitSendBuffer()
		s.Conn.Write(make([]byte, unread))
		if !s.Conn.Blocked() {
			t.Error("the kernel has taken all that the client does not read")
		}
		s.Data(loop.Now(), query[:half])
		s.Shed()
		s.Data(loop.Now(), append(query[half:], query[:half]...))
		s.Shed()
		s.Data(loop.Now(), query[half:])
	})
	<-discarded
	if _, err := io.CopyN(io.Discard, client.Conn, unread); err != nil {
		t.Fatal(err)
	}
	if err := client.Send([]byte{mysql.ComPing}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []byte{0xff, 0xff, 0} {
		if answer, err := client.Receive(mysql.ComPing); err != nil || answer[0][0] != want {
			t.Fatalf("a message is answered with %x, %v, want %x first", answer, err, want)
		}
	}
}
