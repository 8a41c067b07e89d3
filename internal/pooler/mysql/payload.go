package mysql

import (
	"time"

	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// Command is the payload of a request.
type Command struct {
	Text       string
	Comment    *comment.Comment // nil: the statement has none
	Database   string
	Prepared   bool
	ParamCount int
	Execute    mysql.Execute
	LongData   []mysql.LongData

	Client      translate.Client
	Translated  *Translated    // for servers of the other protocol; nil: its cluster had none when the command came
	utf8Execute *mysql.Execute // Execute with its texts in UTF-8, where the client's are not; nil: they are

	translate func() (*Translated, error)
	epoch     uint64 // of the shard map; 0: none
}

// SetEpoch is documented with dispatch.EpochCarrier. A prepared statement's text stays as it was prepared, without an epoch.
func (c *Command) SetEpoch(epoch uint64) { c.epoch = epoch }

// ForPostgres returns the command as PostgreSQL servers get it. The command may have come while its cluster had no such server, and
// be sent, after a wait for a primary, when it has one: what can't be translated fails then, before anything is sent.
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

// queryText returns the statement as it is sent when the client waits for so long still.
func (c *Command) queryText(timeLeft time.Duration) string {
	if c.Comment == nil {
		return c.Text
	}
	return comment.WithEpoch(c.Comment.WithPatience(c.Text, timeLeft), c.epoch)
}

// Translated is a statement as PostgreSQL servers get it.
type Translated struct {
	translate.Statement
	comment *comment.Comment // nil: the statement has none
	epoch   uint64           // of the shard map; 0: none
}

// Text returns the statement's SQL as it is sent when the client waits for so long still.
func (t *Translated) Text(timeLeft time.Duration) string {
	if t.comment == nil {
		return t.SQL
	}
	return comment.WithEpoch(t.comment.WithPatience(t.SQL, timeLeft), t.epoch)
}
