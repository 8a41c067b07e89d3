package mysql

import (
	"time"

	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/sessionkey"
	"threadsail/internal/translate"
)

// Command is the payload of a request: a statement with its parameters and the properties of the client that sent it.
type Command struct {
	Text       string
	Comment    *comment.Comment // nil if the statement has none
	Database   string
	Prepared   bool
	ParamCount int
	Execute    mysql.Execute
	LongData   []mysql.LongData

	Client      translate.Client
	Translated  *Translated    // for PostgreSQL servers; nil if the cluster had none when the command arrived
	utf8Execute *mysql.Execute // Execute with its texts converted to UTF-8; nil if no conversion is needed

	translate func() (*Translated, error)
	expiresAt time.Duration // loop time of the client's deadline
	epoch     uint64        // of the shard map; 0 if none
}

// size returns the memory in bytes that the command takes beside its prepared statement.
func (c *Command) size() int {
	size := len(c.Execute.Values)
	if !c.Prepared {
		size = len(c.Text)
	}
	for _, data := range c.LongData {
		size += len(data.Data)
	}
	return size
}

// SetEpoch implements dispatch.EpochCarrier. The text of a prepared statement is not changed after its preparation and carries no
// epoch.
func (c *Command) SetEpoch(epoch uint64) { c.epoch = epoch }

// ForPostgres returns the command translated for PostgreSQL servers, or an error if it can't be translated. The command may have
// arrived when its cluster had no PostgreSQL server, and be sent to one after a wait for a primary. It is then translated here, and a
// command that can't be translated fails before anything is sent.
func (c *Command) ForPostgres() (*Translated, error) {
	if c.Translated == nil {
		translated, err := c.translate()
		if err != nil {
			return nil, err
		}
		c.Translated = translated
	}
	c.Translated.epoch = c.epoch
	return c.Translated, nil
}

// queryText returns the text of the statement to send. If the statement has a comment, the comment carries timeLeft, the time until
// the client's deadline, and the epoch.
func (c *Command) queryText(timeLeft time.Duration) string {
	if c.Comment == nil {
		return c.Text
	}
	return comment.WithEpoch(c.Comment.WithPatience(c.Text, timeLeft), c.epoch)
}

// preparedText returns the text of the statement to prepare, for an execution at the loop time now. If the statement has a comment, the
// comment names the client's deadline as the client did, unless clearly less time is left.
func (c *Command) preparedText(now time.Duration) string {
	if c.Comment == nil {
		return c.Text
	}
	return c.Comment.WithPatienceInSteps(c.Text, c.expiresAt-now)
}

// PreparedTextForPostgres is like preparedText, for the translated statement of a command that has been translated.
func (c *Command) PreparedTextForPostgres(now time.Duration) string {
	if c.Translated.comment == nil {
		return c.Translated.SQL
	}
	return c.Translated.comment.WithPatienceInSteps(c.Translated.SQL, c.expiresAt-now)
}

// Translated is a statement translated for PostgreSQL servers.
type Translated struct {
	translate.Statement
	comment *comment.Comment // nil if the statement has none
	epoch   uint64           // of the shard map; 0 if none
}

// Text returns the SQL of the statement to send. If the statement has a comment, the comment carries timeLeft, the time until the
// client's deadline, and the epoch.
func (t *Translated) Text(timeLeft time.Duration) string {
	if t.comment == nil {
		return t.SQL
	}
	return comment.WithEpoch(t.comment.WithPatience(t.SQL, timeLeft), t.epoch)
}

// Params returns the values of the command's parameters.
func (c *Command) Params() ([]translate.Param, error) {
	longData := map[int][]byte{}
	for _, data := range c.LongData {
		longData[int(data.Param)] = append(longData[int(data.Param)], data.Data...)
	}
	return translate.Params(c.Execute, longData, c.ParamCount)
}

// sessionKeys returns the keys in the command's text and parameters that may name its session.
func (c *Command) sessionKeys() sessionkey.Keys {
	keys := sessionkey.OfText(c.Text, sessionkey.MySQL)
	if c.ParamCount == 0 {
		return keys
	}
	params, err := c.Params()
	if err != nil {
		keys.SetUnknown()
	}
	for _, param := range params {
		c.addSessionKey(&keys, param)
	}
	return keys
}

// addSessionKey adds the value of a parameter to the keys that may name the command's session.
func (c *Command) addSessionKey(keys *sessionkey.Keys, param translate.Param) {
	switch param.Kind {
	case translate.Null:
	case translate.Text, translate.Bytes, translate.JSON:
		value, err := c.Client.Charset.Decode(param.Value)
		if err != nil { // not a text: it is compared as it is
			value = param.Value
		}
		keys.AddString(value)
	default:
		keys.AddNumber(string(param.Value))
	}
}
