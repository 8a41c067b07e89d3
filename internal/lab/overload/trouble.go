package overload

import (
	"io"
	"net"
	"strings"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/pgwire"
)

const (
	batchBytes     = 16 << 10 // written at once by a client that sends at full speed
	reconnectDelay = 10 * time.Millisecond
	troubleTimeout = 15 * time.Second // of a write or a read of a trouble's client
	slowReadBytes  = 4 << 10          // read at once by a client that reads slowly
	slowReadDelay  = 75 * time.Millisecond
	largeValue     = 64 << 10 // bytes
	largeKey       = "large-value"
	unsentTail     = 9 // bytes that a client withholds that stops within a request
)

// reading is how a trouble's client reads its answers.
type reading uint8

const (
	readAll reading = iota
	readNothing
	readSlowly // one request at a time, each answer over a second or so
)

// Trouble is a kind of misbehaviour.
type Trouble struct {
	Name       string
	Wire       string // the only wire that has it; empty: both
	Clients    int
	Login      bool // the clients log in before they send commands
	Command    commandFunc
	Numbered   bool // each command is another one
	Reading    reading
	Leaves     bool // each client closes its connection behind a command, and connects again
	Stops      bool // each client withholds the end of its first command and stays
	WritePace  standin.Pace
	ServerPace standin.Pace
	Parts      []Trouble // of a mixture: each client plays one of them
	LargeReads bool      // ordinary clients read large values
	WriteBytes int       // size of the values that ordinary clients write
}

// Patience returns the time of ordinary requests beside the trouble: servers that take over a second for each need more.
func (t Trouble) Patience() time.Duration {
	if t.ServerPace.Bytes > 0 {
		return 2400 * time.Millisecond
	}
	return 400 * time.Millisecond
}

// Troubles returns every kind of trouble on a wire.
func Troubles(wire string) []Trouble {
	var troubles []Trouble
	mixture := Trouble{Name: "all at once", Clients: 200}
	for _, trouble := range append(floods(), slowPeers()...) {
		if trouble.Wire != "" && trouble.Wire != wire {
			continue
		}
		troubles = append(troubles, trouble)
		if trouble.Clients > 0 {
			mixture.Parts = append(mixture.Parts, trouble)
		}
	}
	return append(troubles, mixture)
}

// part returns the trouble that a client plays.
func (t Trouble) part(client int) Trouble {
	if len(t.Parts) == 0 {
		return t
	}
	return t.Parts[client%len(t.Parts)]
}

// floods are clients that send at full speed.
func floods() []Trouble {
	few, many, crowd := 6, 100, 300
	return []Trouble{
		{Name: "none"},
		{Name: "empty statements", Clients: few, Login: true, Command: emptyStatement},
		{Name: "empty statements, unread", Clients: many, Login: true, Command: emptyStatement, Reading: readNothing},
		{Name: "Sync", Wire: "postgres", Clients: few, Login: true, Command: syncMessage},
		{Name: "TLS requests", Wire: "postgres", Clients: few, Command: tlsRequest},
		{Name: "TLS requests, unread", Wire: "postgres", Clients: 2 * many, Command: tlsRequest, Reading: readNothing},
		{Name: "no id", Clients: few, Login: true, Command: withoutID},
		{Name: "new classes", Clients: few, Login: true, Numbered: true, Command: newClass},
		{Name: "new classes, unread", Clients: 2 * many, Login: true, Numbered: true, Command: newClass, Reading: readNothing},
		{Name: "new keys", Clients: few, Login: true, Numbered: true, Command: newKey},
		{Name: "new keys, unread", Clients: 2 * many, Login: true, Numbered: true, Command: newKey, Reading: readNothing},
		{Name: "many short fields", Clients: crowd, Login: true, Numbered: true, Command: shortFields},
		{Name: "long ids", Clients: crowd, Login: true, Numbered: true, Command: longIDs},
		{Name: "long ids, unread", Clients: many, Login: true, Numbered: true, Command: longIDs, Reading: readNothing},
		{Name: "many requests", Clients: crowd, Login: true, Numbered: true, Command: newRow},
		{Name: "cancel requests", Wire: "postgres", Clients: 20, Numbered: true, Command: cancelRequest, Leaves: true},
		{Name: "extended queries", Wire: "postgres", Clients: many, Login: true, Command: extendedQuery},
		{Name: "unknown messages", Clients: many, Login: true, Command: unknownMessage, Leaves: true},
		{Name: "half a login", Clients: many, Command: halfLogin},
		{Name: "pings", Wire: "mysql", Clients: few, Login: true, Command: ping},
		{Name: "sessions reset", Wire: "mysql", Clients: few, Login: true, Command: resetSession},
		{Name: "prepares", Wire: "mysql", Clients: few, Login: true, Numbered: true, Command: prepare},
		{Name: "prepares, many clients", Wire: "mysql", Clients: crowd, Login: true, Numbered: true, Command: prepare},
		{Name: "long data", Wire: "mysql", Clients: many, Login: true, Numbered: true, Command: longData},
	}
}

// slowPeers are clients and servers that write or read slowly, or stop.
func slowPeers() []Trouble {
	paced := standin.Pace{Bytes: 6 << 10, Every: 110 * time.Millisecond}
	return []Trouble{
		{Name: "stop within a write", Clients: 300, Login: true, Command: largeWrite, Numbered: true, Stops: true},
		{Name: "write slowly", Clients: 300, Login: true, Command: largeWrite, Numbered: true, WritePace: paced},
		{Name: "large writes", Clients: 60, Login: true, Command: largeWrite, Numbered: true},
		{Name: "read slowly", Clients: 300, Login: true, Command: largeRead, Numbered: true, Reading: readSlowly},
		{Name: "large reads, unread", Clients: 100, Login: true, Command: largeRead, Numbered: true, Reading: readNothing},
		{Name: "slow servers", ServerPace: paced, LargeReads: true},
		{Name: "slow servers, writes", ServerPace: standin.Pace{Bytes: 12 << 10, Every: 110 * time.Millisecond}, WriteBytes: 128 << 10},
	}
}

// largeAnswer is a server's answer of one large value.
func largeAnswer(wire string) []byte {
	value := strings.Repeat("v", largeValue)
	if wire == "mysql" {
		return standin.MySQLRow("val", value)
	}
	return pgwire.AppendReady(pgwire.AppendRow(nil, "val", value, "SELECT 1"))
}

// troubleClient is one client of a trouble.
type troubleClient struct {
	run    Run
	addr   string
	number int
	sent   int // commands
}

// play sends commands until stop is closed, and connects again whenever its connection ends.
func (c *troubleClient) play(stop chan struct{}) {
	for {
		conn, err := c.connect()
		if err == nil {
			done := make(chan struct{})
			go func() {
				select {
				case <-stop:
				case <-done:
				}
				_ = conn.Close()
			}()
			c.converse(conn)
			close(done)
		}
		select {
		case <-stop:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// connect connects, and logs in if the trouble asks for it.
func (c *troubleClient) connect() (net.Conn, error) {
	if !c.run.Trouble.Login {
		return net.DialTimeout("tcp", c.addr, lastWait)
	}
	if c.run.Wire == "mysql" {
		return standin.DialOld(c.addr, standin.ClientUser, standin.ClientPassword, utf8Collation)
	}
	return standin.DialPostgresWithin(c.addr, lastWait)
}

// converse writes and reads until the connection ends.
func (c *troubleClient) converse(conn net.Conn) {
	switch {
	case c.run.Trouble.Stops:
		command := c.appendNext(nil)
		_, _ = conn.Write(command[:len(command)-unsentTail])
		_, _ = io.Copy(io.Discard, conn)
	case c.run.Trouble.Leaves:
		_, _ = conn.Write(c.appendNext(nil))
		_ = conn.SetReadDeadline(time.Now().Add(lastWait))
		_, _ = conn.Read(make([]byte, slowReadBytes))
	case c.run.Trouble.Reading == readSlowly:
		c.readSlowly(conn)
	default:
		if c.run.Trouble.Reading == readAll {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		c.flood(conn)
	}
}

// appendNext appends the client's next command.
func (c *troubleClient) appendNext(b []byte) []byte {
	c.sent++
	return c.run.Trouble.Command(b, c.run.Wire, c.number, c.sent-1)
}

// flood writes commands as fast as the connection, or the trouble's pace, lets it.
func (c *troubleClient) flood(conn net.Conn) {
	batch := make([]byte, 0, 2*batchBytes)
	for {
		if len(batch) == 0 || c.run.Trouble.Numbered {
			batch = c.appendBatch(batch[:0])
		}
		_ = conn.SetWriteDeadline(time.Now().Add(troubleTimeout))
		if err := c.run.Trouble.WritePace.Write(conn, batch); err != nil {
			return
		}
	}
}

// appendBatch appends the client's next commands, as many as are written at once.
func (c *troubleClient) appendBatch(batch []byte) []byte {
	for len(batch) < batchBytes {
		batch = c.appendNext(batch)
	}
	return batch
}

// readSlowly sends one command at a time and reads the answer slowly.
func (c *troubleClient) readSlowly(conn net.Conn) {
	chunk := make([]byte, slowReadBytes)
	for {
		if _, err := conn.Write(c.appendNext(nil)); err != nil {
			return
		}
		for received := 0; received < largeValue; time.Sleep(slowReadDelay) {
			_ = conn.SetReadDeadline(time.Now().Add(troubleTimeout))
			n, err := conn.Read(chunk)
			if err != nil {
				return
			}
			received += n
		}
	}
}
