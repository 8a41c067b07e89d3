package pooler_test

import (
	"testing"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/mysql"
)

// A server that answers the query behind a COM_FIELD_LIST with an OK packet must not leave the command without an answer: its client would
// take the answer to its next command for it.
func TestFieldListWithoutColumnsGetsAnError(t *testing.T) {
	f, _, a := mysqlPooler(t, "p")
	client := newRawClient(t, a).(oldMySQLClient)
	f.Servers[0].Spoil(func(standin.Seen) []byte { return mysql.Append(nil, 1, mysql.OK()) })
	if err := client.OldClient.Send(mysql.Command(mysql.ComFieldList, "state\x00")); err != nil {
		t.Fatal(err)
	}
	if err := client.OldClient.Send([]byte{mysql.ComPing}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []byte{0xff, 0} {
		if answer, err := client.OldClient.Receive(mysql.ComPing); err != nil || answer[0][0] != want {
			t.Fatalf("got the answer %x, %v, want %x first", answer, err, want)
		}
	}
}
