package pooler_test

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
)

// ownAnswersSeed is the seed of the random choices of TestAnswersStayWithTheirStatements, beside the number of the client.
const ownAnswersSeed = 58

// randomActs has a server treat statements in all ways in which they can end.
func randomActs(seed uint64) func(standin.Seen) standin.Act {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(ownAnswersSeed, seed))
	acts := []standin.Act{standin.Hang, standin.Break, standin.Fault, standin.Full}
	return func(standin.Seen) standin.Act {
		mu.Lock()
		delay := time.Duration(random.Int64N(int64(2 * time.Millisecond)))
		act := standin.Answer
		if choice := random.IntN(5 * len(acts)); choice < len(acts) {
			act = acts[choice]
		}
		mu.Unlock()
		time.Sleep(delay)
		return act
	}
}

// answerChecker is a client that sends statements ahead, cancels some, leaves some behind, and checks whose answers it gets.
type answerChecker struct {
	t        *testing.T
	pooler   pooler.Addresses
	random   *rand.Rand
	client   rawClient
	killer   rawClient // cancels statements of MySQL clients
	cancel   func() error
	prepared uint32 // number of the client's last prepared statement
	served   int
	stopped  int // statements that were cancelled, refused or failed
}

// connect replaces the client's connection.
func (c *answerChecker) connect() (err error) {
	if c.client != nil {
		_ = c.client.Close()
	}
	c.prepared = 0
	if c.client, err = tryRawClient(c.t, c.pooler); err != nil {
		return err
	}
	c.cancel, _ = newCanceller(c.client, c.killer)
	return nil
}

// run sends batches until a time.
func (c *answerChecker) run(until time.Time) {
	err := c.connect()
	for err == nil && time.Now().Before(until) {
		err = c.sendBatch()
	}
	if err != nil {
		c.t.Error(err)
	}
}

// sendBatch sends up to three statements at once, and cancels one of them, leaves them behind, or both, or neither.
func (c *answerChecker) sendBatch() error {
	var batch []byte
	var receive []func()
	for range 1 + c.random.IntN(3) {
		bytes, id, next := c.statement()
		batch = append(batch, bytes...)
		receive = append(receive, func() { c.check(id, next()) })
	}
	if _, err := c.client.Write(batch); err != nil {
		return err
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(4 * time.Millisecond)))) // as long as servers take, and longer
	if c.random.IntN(2) == 0 {
		if err := c.cancel(); err != nil {
			return err
		}
	}
	if c.random.IntN(20) == 0 {
		return c.connect()
	}
	for _, f := range receive {
		f()
	}
	return nil
}

// check checks one answer.
func (c *answerChecker) check(id string, got standin.Result) {
	switch {
	case got.Err != nil:
		c.t.Errorf("statement %s got no answer: %v", id, got.Err)
	case got.Served() && got.Value != id:
		c.t.Errorf("statement %s got the answer of %s", id, got.Value)
	case got.Served():
		c.served++
	default:
		c.stopped++
	}
}

// statement returns the bytes of a read, its ID, and the function that receives its answer.
func (c *answerChecker) statement() (bytes []byte, id string, receive func() standin.Result) {
	text := standin.Read("any", time.Duration(100+c.random.IntN(500))*time.Millisecond)
	parsed, err := comment.Parse(text)
	if err != nil {
		c.t.Error(err)
	}
	old, isMySQL := c.client.(oldMySQLClient)
	if !isMySQL || c.random.IntN(2) == 0 {
		return packet(c.client, text), parsed.ID, c.client.Receive
	}
	return c.preparedRead(text, parsed.ID), parsed.ID, func() standin.Result { return receivePrepared(old) }
}

// preparedRead returns a PREPARE of a read, its parameter's value sent ahead, its EXECUTE and its CLOSE. The pooler numbers the statements
// of a client from 1. The value is the statement's ID.
func (c *answerChecker) preparedRead(text, id string) (bytes []byte) {
	c.prepared++
	commands := [][]byte{
		mysql.Command(mysql.ComStmtPrepare, strings.Replace(text, "'u1'", "?", 1)),
		mysql.LongData{Data: []byte(id)}.Payload(c.prepared),
		mysql.Execute{Nulls: []byte{0}, Types: []byte{typeBlob, 0}}.Payload(c.prepared),
		mysql.StmtClose(c.prepared),
	}
	for _, command := range commands {
		bytes = mysql.Append(bytes, 0, command)
	}
	return bytes
}

// receivePrepared receives the answers to the commands of preparedRead.
func receivePrepared(client oldMySQLClient) (r standin.Result) {
	if _, r.Err = client.OldClient.Receive(mysql.ComStmtPrepare); r.Err != nil {
		return r
	}
	packets, err := client.OldClient.Receive(mysql.ComStmtExecute)
	if err != nil {
		return standin.Result{Err: err}
	}
	if packets[0][0] == 0xff {
		code, _, text, _ := mysql.ParseError(packets[0])
		return standin.FromMySQL(&driver.MySQLError{Number: code, Message: text})
	}
	const binaryRowHeader = 2 // and a bitmap of NULLs for one column
	r.Value, _ = mysql.TextColumn(packets[len(packets)-2][binaryRowHeader:])
	return r
}

// parameterChecker is a table of a PostgreSQL server that checks that statements come with their own parameter.
type parameterChecker struct{ t *testing.T }

func (parameterChecker) Types(string) []uint32 {
	const oidText = 25
	return []uint32{oidText}
}

func (p parameterChecker) Run(text string, params [][]byte) (standin.Rows, bool) {
	if len(params) > 0 && params[0] != nil {
		checkParameter(p.t, text, string(params[0]))
	}
	return standin.Rows{}, false // the server's own answer
}

func checkParameter(t *testing.T, text, value string) {
	if parsed, _ := comment.Parse(text); parsed.ID != value {
		t.Errorf("statement %s ran with the parameter %q", parsed.ID, value)
	}
}

// However statements end, by answers, errors, cancels, deadlines or a close of the client's or the server's connection, every client must
// get one answer to each, its own, and no server may get another statement's parameter.
func TestAnswersStayWithTheirStatements(t *testing.T) {
	const (
		clients  = 8
		duration = 3 * time.Second
	)
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		for i, server := range f.Servers {
			server.Echo()
			server.Hold(parameterChecker{t})
			server.Do(randomActs(uint64(i)))
		}
		checkers := make([]answerChecker, clients)
		until := time.Now().Add(duration)
		var running sync.WaitGroup
		for i := range checkers {
			checkers[i] = answerChecker{t: t, pooler: a, killer: newRawClient(t, a), random: rand.New(rand.NewPCG(ownAnswersSeed, uint64(i)))}
			running.Go(func() { checkers[i].run(until) })
		}
		running.Wait()
		served, stopped := 0, 0
		for _, c := range checkers {
			served += c.served
			stopped += c.stopped
		}
		t.Logf("%d statements served, %d cancelled, refused or failed", served, stopped)
		if served == 0 || stopped == 0 {
			t.Error("statements did not end in several ways")
		}
		for _, server := range f.Servers {
			for _, seen := range server.Seen() {
				if seen.LongData != "" {
					checkParameter(t, seen.Text, seen.LongData)
				}
			}
		}
	})
}
