package overload

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/mysql"
)

// ordinaryClient is a client with one request at a time.
type ordinaryClient struct {
	run    Run
	addr   string
	number int
	conn   requestConn // nil: not connected
	counts Requests
}

// requestConn is a connection that sends one request and receives its answer.
type requestConn interface {
	// Do sends a statement and receives its answer until the deadline.
	Do(statement string, deadline time.Time) standin.Result
	Close() error
}

// play sends requests until stop is closed, and returns what became of them.
func (c *ordinaryClient) play(stop chan struct{}) Requests {
	defer func() {
		if c.conn != nil {
			_ = c.conn.Close()
		}
	}()
	for n := c.number; ; n++ {
		select {
		case <-stop:
			return c.counts
		case <-time.After(ordinaryWait/2 + time.Duration(rand.Int64N(int64(ordinaryWait)))):
		}
		c.request(c.statement(n))
	}
}

// statement is the client's n-th request.
func (c *ordinaryClient) statement(n int) string {
	if n%writeEvery == 0 {
		statement := standin.Write(fmt.Sprintf("key%d-%d", c.number, n), c.run.Patience)
		return strings.Replace(statement, "'x'", "'"+strings.Repeat("x", 1+c.run.Trouble.WriteBytes)+"'", 1)
	}
	statement := standin.Read("any", c.run.Patience)
	if c.run.Trouble.LargeReads {
		statement = strings.Replace(statement, "'u1'", "'"+largeKey+"'", 1)
	}
	return statement
}

// request sends a request, once more on a new connection if the pooler has closed the old one between two requests, and counts its end.
func (c *ordinaryClient) request(statement string) {
	began := time.Now()
	due := began.Add(c.run.Patience)
	result := c.attempt(statement, due.Add(lastWait))
	if result.Err != nil && time.Now().Before(due) {
		result = c.attempt(statement, due.Add(lastWait))
	}
	took := time.Since(began)
	c.counts.Worst = max(c.counts.Worst, took)
	switch {
	case result.Err != nil:
		c.counts.Unanswered++
	case took > c.run.Patience+lateAfter:
		c.counts.Late++
	case result.Served():
		c.counts.Served++
	case result.Refused:
		c.counts.Refused++
	default:
		c.counts.Failed++
	}
}

// attempt sends a request on the client's connection, which it opens if there is none.
func (c *ordinaryClient) attempt(statement string, deadline time.Time) standin.Result {
	if c.conn == nil {
		conn, err := dialRequests(c.run.Wire, c.addr)
		if err != nil {
			return standin.Result{Err: err}
		}
		c.conn = conn
	}
	result := c.conn.Do(statement, deadline)
	if result.Err != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	return result
}

func dialRequests(wire, addr string) (requestConn, error) {
	if wire == "mysql" {
		client, err := standin.DialOld(addr, standin.ClientUser, standin.ClientPassword, utf8Collation)
		return mysqlRequests{client}, err
	}
	client, err := standin.DialPostgresWithin(addr, lastWait)
	return postgresRequests{client}, err
}

// postgresRequests is a requestConn on PostgreSQL's protocol.
type postgresRequests struct{ *standin.Postgres }

func (p postgresRequests) Do(statement string, deadline time.Time) standin.Result {
	_ = p.SetDeadline(deadline)
	return p.Postgres.Do(statement)
}

// utf8Collation is the number of MySQL's collation utf8_general_ci.
const utf8Collation = 33

// mysqlRequests is a requestConn on MySQL's protocol.
type mysqlRequests struct{ *standin.OldClient }

func (m mysqlRequests) Do(statement string, deadline time.Time) (result standin.Result) {
	_ = m.SetDeadline(deadline)
	packets, err := m.OldClient.Do(append([]byte{mysql.ComQuery}, statement...))
	if err != nil {
		return standin.Result{Err: err}
	}
	if len(packets) == 0 {
		return standin.Result{Err: errors.New("overload: no packet")}
	}
	const errorPacket = 0xff
	if packets[0][0] != errorPacket {
		return result
	}
	code, _, _, _ := mysql.ParseError(packets[0])
	result.Code = strconv.Itoa(int(code))
	result.Refused = code == mysql.ErrConCount
	result.Failed = !result.Refused
	return result
}
