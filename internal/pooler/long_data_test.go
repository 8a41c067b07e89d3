package pooler_test

import (
	"slices"
	"testing"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/mysql"
)

// A malformed EXECUTE must use up the data sent ahead of it, as at a MySQL server: the next EXECUTE would store it in front of its own.
func TestMalformedExecuteDropsLongData(t *testing.T) {
	f, _, a := mysqlPooler(t, "p")
	c, err := standin.DialOld(a.MySQL, standin.ClientUser, standin.ClientPassword, standin.Latin2)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answer, err := c.Do(append([]byte{mysql.ComStmtPrepare}, "INSERT INTO state (val) VALUES (?)"...))
	if err != nil {
		t.Fatal(err)
	}
	statement, err := mysql.ParsePrepareOK(answer[0])
	if err != nil {
		t.Fatal(err)
	}
	const typeBlob = 0xfc
	execute := mysql.Execute{Nulls: []byte{0}, Types: []byte{typeBlob, 0}}.Payload(statement.ID)
	sendLongData(t, c, statement.ID, "first")
	if answer, err := c.Do(execute[:len(execute)-1]); err != nil || answer[0][0] != 0xff {
		t.Errorf("a malformed EXECUTE is answered with %x, %v", answer, err)
	}
	sendLongData(t, c, statement.ID, "second")
	if answer, err := c.Do(execute); err != nil || answer[0][0] == 0xff {
		t.Errorf("the EXECUTE is answered with %x, %v", answer, err)
	}
	var got []string
	for _, seen := range f.Servers[0].Seen() {
		got = append(got, seen.LongData)
	}
	if want := []string{"second"}; !slices.Equal(got, want) {
		t.Errorf("the server has executed the statement with %q, want %q", got, want)
	}
}

func sendLongData(t *testing.T, c *standin.OldClient, statement uint32, value string) {
	t.Helper()
	if err := c.Send(mysql.LongData{Data: []byte(value)}.Payload(statement)); err != nil {
		t.Fatal(err)
	}
}
