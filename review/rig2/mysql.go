package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// packet returns a MySQL packet.
func packet(seq byte, payload []byte) []byte {
	return append([]byte{byte(len(payload)), byte(len(payload) >> 8), byte(len(payload) >> 16), seq}, payload...)
}

func readPacket(r io.Reader) (seq byte, payload []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	payload = make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err = io.ReadFull(r, payload)
	return head[3], payload, err
}

func lenenc(b []byte, text string) []byte {
	switch n := len(text); {
	case n < 251:
		b = append(b, byte(n))
	case n < 1<<16:
		b = append(b, 0xfc, byte(n), byte(n>>8))
	default:
		b = append(b, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return append(b, text...)
}

func cutLenenc(b []byte) (text string, rest []byte) {
	if len(b) == 0 {
		return "", nil
	}
	n, at := int(b[0]), 1
	switch b[0] {
	case 0xfb:
		return "NULL", b[1:]
	case 0xfc:
		n, at = int(b[1])|int(b[2])<<8, 3
	case 0xfd:
		n, at = int(b[1])|int(b[2])<<8|int(b[3])<<16, 4
	}
	return string(b[at : at+n]), b[at+n:]
}

const (
	capabilities = 1 | 1<<3 | 1<<9 | 1<<13 | 1<<15 | 1<<19
	nativePlugin = "mysql_native_password"
)

var (
	okPacket  = []byte{0, 0, 0, 2, 0, 0, 0}
	eofPacket = []byte{0xfe, 0, 0, 2, 0}
)

func errPacket(code uint16, state, text string) []byte {
	return append([]byte{0xff, byte(code), byte(code >> 8)}, "#"+state+text...)
}

func columnDefinition(name string) []byte {
	b := lenenc(nil, "def")
	b = lenenc(b, "")
	b = lenenc(b, "")
	b = lenenc(b, "")
	b = lenenc(b, name)
	b = lenenc(b, "")
	return append(b, 0x0c, 45, 0, 0, 0, 1, 0, 0xfd, 0, 0, 0, 0, 0)
}

// oneRow returns a result set of one text.
func oneRow(name, value string, binaryForm bool) []byte {
	row := lenenc(nil, value)
	if binaryForm {
		row = append([]byte{0, 0}, row...)
	}
	out := packet(1, []byte{1})
	out = append(out, packet(2, columnDefinition(name))...)
	out = append(out, packet(3, eofPacket)...)
	out = append(out, packet(4, row)...)
	return append(out, packet(5, eofPacket)...)
}

// Statement is one that has reached a server.
type Statement struct {
	Server *MyServer
	Text   string
	Values []string // of an EXECUTE
	Conn   *net.TCPConn
	Binary bool
	Seq    int
}

// MyServer is a stand-in for a MySQL server.
type MyServer struct {
	Name, Addr string
	Cluster    int // set before it is listed
	mu         sync.Mutex
	primary    bool
	position   func() int64 // Unix time in milliseconds that it has applied everything until
	handle     func(s Statement) []byte
	listener   net.Listener
	hang       chan struct{} // closed once it goes on; nil: it does not hang
}

// Hang makes the server stand still for a while: it reads nothing and says nothing.
func (s *MyServer) Hang(d time.Duration) {
	hang := make(chan struct{})
	s.mu.Lock()
	s.hang = hang
	s.mu.Unlock()
	record("%s hangs for %v", s.Name, d)
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.hang = nil
		s.mu.Unlock()
		record("%s goes on", s.Name)
		close(hang)
	})
}

// pause waits while the server hangs.
func (s *MyServer) pause() {
	s.mu.Lock()
	hang := s.hang
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
}

// NewMyServer starts a server. handle returns the whole answer; nil: nothing is answered.
func NewMyServer(name string, primary bool, position func() int64, handle func(s Statement) []byte) *MyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("%v", err)
	}
	s := &MyServer{Name: name, Addr: l.Addr().String(), primary: primary, position: position, handle: handle, listener: l}
	go s.accept()
	return s
}

func (s *MyServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

const heartbeatQuery = "SELECT ROUND(UNIX_TIMESTAMP(MAX(ts)) * 1000) FROM heartbeat.heartbeat"

func (s *MyServer) serve(c *net.TCPConn) {
	defer c.Close()
	s.pause()
	r := bufio.NewReader(c)
	greeting := append([]byte{10}, "8.0.36\x00"...)
	greeting = append(greeting, 7, 0, 0, 0)
	greeting = append(greeting, "abcdefgh\x00"...)
	greeting = binary.LittleEndian.AppendUint16(greeting, capabilities&0xffff)
	greeting = append(greeting, 45, 2, 0)
	greeting = binary.LittleEndian.AppendUint16(greeting, capabilities>>16)
	greeting = append(greeting, 21, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)
	greeting = append(greeting, "ijklmnopqrst\x00"+nativePlugin+"\x00"...)
	_, _ = c.Write(packet(0, greeting))
	if _, _, err := readPacket(r); err != nil {
		return
	}
	_, _ = c.Write(packet(2, okPacket))
	prepared := map[uint32]string{}
	long := map[uint32]map[int]string{}
	for {
		_, p, err := readPacket(r)
		if err != nil || len(p) == 0 {
			return
		}
		s.pause()
		statement := Statement{Server: s, Conn: c}
		switch p[0] {
		case 0x01:
			return
		case 0x02, 0x0e:
			_, _ = c.Write(packet(1, okPacket))
			continue
		case 0x03:
			statement.Text = string(p[1:])
		case 0x16:
			id := uint32(len(prepared) + 1)
			prepared[id] = string(p[1:])
			params := strings.Count(prepared[id], "?")
			head := binary.LittleEndian.AppendUint32([]byte{0}, id)
			head = append(head, 0, 0, byte(params), 0, 0, 0, 0)
			out := packet(1, head)
			for i := range params {
				out = append(out, packet(byte(2+i), columnDefinition("?"))...)
			}
			if params > 0 {
				out = append(out, packet(byte(2+params), eofPacket)...)
			}
			_, _ = c.Write(out)
			continue
		case 0x18:
			id, param := binary.LittleEndian.Uint32(p[1:]), int(binary.LittleEndian.Uint16(p[5:]))
			if long[id] == nil {
				long[id] = map[int]string{}
			}
			long[id][param] += string(p[7:])
			continue
		case 0x19:
			continue
		case 0x17:
			id := binary.LittleEndian.Uint32(p[1:])
			statement.Text, statement.Binary = prepared[id], true
			statement.Values = executeValues(p, strings.Count(prepared[id], "?"), long[id])
			delete(long, id)
		default:
			_, _ = c.Write(packet(1, errPacket(1047, "08S01", "Unknown command")))
			continue
		}
		switch statement.Text {
		case "SELECT @@global.read_only":
			s.mu.Lock()
			value := "1"
			if s.primary {
				value = "0"
			}
			s.mu.Unlock()
			_, _ = c.Write(oneRow("@@global.read_only", value, false))
			continue
		case heartbeatQuery:
			_, _ = c.Write(oneRow("ts", fmt.Sprint(s.position()), false))
			continue
		}
		if out := s.handle(statement); out != nil {
			_, _ = c.Write(out)
		}
	}
}

// executeValues returns the values of an EXECUTE whose parameters are all texts.
func executeValues(p []byte, params int, long map[int]string) (values []string) {
	if params == 0 {
		return nil
	}
	rest := p[10+(params+7)/8:]
	if rest[0] == 1 {
		rest = rest[1+2*params:]
	} else {
		rest = rest[1:]
	}
	for i := range params {
		if v, ok := long[i]; ok {
			values = append(values, v)
			continue
		}
		var v string
		v, rest = cutLenenc(rest)
		values = append(values, v)
	}
	return values
}

// MyClient is a MySQL client's connection.
type MyClient struct {
	conn   *net.TCPConn
	r      *bufio.Reader
	Thread uint32
}

// DialMySQL connects and logs in.
func DialMySQL(addr string) (*MyClient, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	m := &MyClient{conn: c.(*net.TCPConn), r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, p, err := readPacket(m.r)
	if err != nil || p[0] != 10 {
		c.Close()
		return nil, fmt.Errorf("no greeting: %v", err)
	}
	rest := p[1+strings.IndexByte(string(p[1:]), 0)+1:]
	m.Thread = binary.LittleEndian.Uint32(rest)
	login := binary.LittleEndian.AppendUint32(nil, capabilities&^(1<<3))
	login = binary.LittleEndian.AppendUint32(login, 1<<24)
	login = append(login, 45)
	login = append(login, make([]byte, 23)...)
	login = append(login, "client\x00\x00"+nativePlugin+"\x00"...)
	if _, err := c.Write(packet(1, login)); err != nil {
		return nil, err
	}
	if _, p, err = readPacket(m.r); err != nil || p[0] != 0 {
		c.Close()
		return nil, fmt.Errorf("login: %q %v", p, err)
	}
	_ = c.SetDeadline(time.Time{})
	return m, nil
}

// Send sends commands at once.
func (m *MyClient) Send(commands ...[]byte) error {
	var out []byte
	for _, c := range commands {
		out = append(out, packet(0, c)...)
	}
	_, err := m.conn.Write(out)
	return err
}

// query is the payload of a QUERY.
func query(text string) []byte { return append([]byte{0x03}, text...) }

// Result is an answer to a client.
type Result struct {
	Err   uint16 // 0: none
	Text  string // of the error
	Value string // the first column of the first row
	Rows  int
}

func (r Result) String() string {
	if r.Err != 0 {
		return fmt.Sprintf("error %d: %s", r.Err, r.Text)
	}
	return fmt.Sprintf("%d rows, %.80q", r.Rows, r.Value)
}

// Read reads one answer.
func (m *MyClient) Read(timeout time.Duration, binaryForm bool) (Result, error) {
	_ = m.conn.SetReadDeadline(time.Now().Add(timeout))
	_, p, err := readPacket(m.r)
	if err != nil {
		return Result{}, err
	}
	switch p[0] {
	case 0xff:
		return Result{Err: binary.LittleEndian.Uint16(p[1:]), Text: string(p[3:])}, nil
	case 0:
		return Result{}, nil
	}
	var result Result
	for eofs := 0; eofs < 2; {
		if _, p, err = readPacket(m.r); err != nil {
			return result, err
		}
		switch {
		case p[0] == 0xff:
			return Result{Err: binary.LittleEndian.Uint16(p[1:]), Text: string(p[3:])}, nil
		case p[0] == 0xfe && len(p) < 9:
			eofs++
		case eofs == 1:
			if binaryForm {
				p = p[2:]
			}
			if result.Rows++; result.Rows == 1 {
				result.Value, _ = cutLenenc(p)
			}
		}
	}
	return result, nil
}

// Query sends a statement and reads its answer.
func (m *MyClient) Query(text string, timeout time.Duration) (Result, error) {
	if err := m.Send(query(text)); err != nil {
		return Result{}, err
	}
	return m.Read(timeout, false)
}

// Prepare prepares a statement.
func (m *MyClient) Prepare(text string) (id uint32, err error) {
	if err := m.Send(append([]byte{0x16}, text...)); err != nil {
		return 0, err
	}
	_ = m.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, p, err := readPacket(m.r)
	if err != nil {
		return 0, err
	}
	if p[0] != 0 {
		return 0, fmt.Errorf("prepare: %q", p)
	}
	if params := int(binary.LittleEndian.Uint16(p[7:])); params > 0 {
		for range params + 1 {
			if _, _, err := readPacket(m.r); err != nil {
				return 0, err
			}
		}
	}
	return binary.LittleEndian.Uint32(p[1:]), nil
}

// longData is the payload of a SEND_LONG_DATA.
func longData(id uint32, param int, data string) []byte {
	p := binary.LittleEndian.AppendUint32([]byte{0x18}, id)
	return append(binary.LittleEndian.AppendUint16(p, uint16(param)), data...)
}

// execute is the payload of an EXECUTE with texts; nil stands for one that was sent ahead.
func execute(id uint32, values ...any) []byte {
	p := binary.LittleEndian.AppendUint32([]byte{0x17}, id)
	p = append(p, 0, 1, 0, 0, 0)
	if len(values) == 0 {
		return p
	}
	p = append(p, make([]byte, (len(values)+7)/8)...)
	p = append(p, 1)
	for _, v := range values {
		if v == nil {
			p = append(p, 0xfc, 0)
		} else {
			p = append(p, 0xfd, 0)
		}
	}
	for _, v := range values {
		if v != nil {
			p = lenenc(p, v.(string))
		}
	}
	return p
}

// inventory is a list of servers in Ansible's layout.
func inventory(servers ...*MyServer) string {
	var b strings.Builder
	b.WriteString("database:\n  hosts:\n")
	for _, s := range servers {
		host, port, _ := net.SplitHostPort(s.Addr)
		fmt.Fprintf(&b, "    %s:\n      ansible_host: %s\n      cluster: %d\n      mysql_port: %s\n", s.Name, host, s.Cluster, port)
	}
	return b.String()
}
