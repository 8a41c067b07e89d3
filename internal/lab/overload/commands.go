package overload

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
)

const (
	manyFields = 9000
	longID     = 60 << 10 // bytes
)

// commandFunc appends a client's n-th command to b. It allocates little, so that this process keeps up with its clients.
type commandFunc func(b []byte, wire string, client, n int) []byte

// appendStatement appends a statement's command on a wire.
func appendStatement(b []byte, wire string, parts ...string) []byte {
	if wire != "mysql" {
		return pgwire.Append(b, 'Q', append(parts, "\x00")...)
	}
	length := 1
	for _, part := range parts {
		length += len(part)
	}
	b = append(b, byte(length), byte(length>>8), byte(length>>16), 0, mysql.ComQuery)
	for _, part := range parts {
		b = append(b, part...)
	}
	return b
}

// appendNumbered appends a statement that names the client and the command's number twice.
func appendNumbered(b []byte, wire string, client, n int, before, between, after string) []byte {
	number := strconv.Itoa(client) + "-" + strconv.Itoa(n)
	return appendStatement(b, wire, before, number, between, number, after)
}

func emptyStatement(b []byte, wire string, _, _ int) []byte { return appendStatement(b, wire, "") }

// fieldsTail is the end of a comment with many short fields.
var fieldsTail = func() string {
	var tail strings.Builder
	for i := range manyFields {
		fmt.Fprintf(&tail, ",%x=1", i)
	}
	return tail.String() + " */"
}()

func shortFields(b []byte, wire string, client, n int) []byte {
	return appendNumbered(b, wire, client, n, "SELECT 1 /* id=", ",c=any,d=400,cluster=0,r=", fieldsTail)
}

var longIDTail = strings.Repeat("i", longID) + ",c=any,d=400,cluster=0 */"

func longIDs(b []byte, wire string, client, n int) []byte {
	return appendNumbered(b, wire, client, n, "SELECT 1 /* id=", "-", longIDTail)
}

func prepare(b []byte, _ string, client, n int) []byte {
	return mysql.Append(b, 0, append([]byte{mysql.ComStmtPrepare}, fmt.Sprintf("SELECT %d, %d", client, n)...))
}

func longData(b []byte, _ string, _, n int) []byte {
	if n == 0 {
		b = mysql.Append(b, 0, append([]byte{mysql.ComStmtPrepare}, "SELECT ?"...))
	}
	data := append([]byte{mysql.ComStmtSendLong, 1, 0, 0, 0, 0, 0}, make([]byte, 60<<10)...)
	return mysql.Append(b, 0, data)
}

func tlsRequest(b []byte, _ string, _, _ int) []byte {
	const length = 8
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, length), pgwire.SSLCode)
}

func syncMessage(b []byte, _ string, _, _ int) []byte { return pgwire.Append(b, 'S') }

func withoutID(b []byte, wire string, _, _ int) []byte {
	return appendStatement(b, wire, "SELECT 1 /* c=any */")
}

func newClass(b []byte, wire string, client, n int) []byte {
	return appendNumbered(b, wire, client, n, "SELECT 1 /* id=", ",c=class", ",d=400,cluster=0 */")
}

func newKey(b []byte, wire string, client, n int) []byte {
	const before = "INSERT INTO state (uid, val) VALUES ('u1', 'x') RETURNING val /* id=k"
	return appendNumbered(b, wire, client, n, before, ",c=write,k=", ",d=400,cluster=0 */")
}

func newRow(b []byte, wire string, client, n int) []byte {
	return appendNumbered(b, wire, client, n, "SELECT val FROM state WHERE uid = 'u", "' /* id=m", ",c=any,d=400,cluster=0 */")
}

func cancelRequest(b []byte, _ string, _, n int) []byte {
	return pgwire.AppendCancel(b, pgwire.Key{Process: uint32(n), Secret: uint32(n)})
}

func extendedQuery(b []byte, _ string, _, _ int) []byte {
	return pgwire.Append(pgwire.Append(b, 'P', longIDTail, "\x00\x00\x00"), 'S')
}

func unknownMessage(b []byte, wire string, _, _ int) []byte {
	if wire == "mysql" {
		const unknownCommand = 0x7f
		return mysql.Append(b, 0, []byte{unknownCommand})
	}
	return pgwire.Append(b, '!')
}

// halfLogin is the beginning of a packet that is longer than what follows.
func halfLogin(b []byte, _ string, _, _ int) []byte { return append(b, 0, 0, 9, 0) }

func ping(b []byte, _ string, _, _ int) []byte { return mysql.Append(b, 0, []byte{mysql.ComPing}) }

func resetSession(b []byte, _ string, _, _ int) []byte {
	return mysql.Append(b, 0, []byte{mysql.ComResetConnection})
}

// hexadecimal is a large value as PostgreSQL's statements hold it.
var hexadecimal = `\x` + strings.Repeat("ab", largeValue)

func largeWrite(b []byte, wire string, client, n int) []byte {
	before := "INSERT INTO state (uid, val) VALUES ('u1', '" + hexadecimal + "') RETURNING val /* id=w"
	return appendNumbered(b, wire, client, n, before, ",c=write,k=", ",d=2000,cluster=0 */")
}

func largeRead(b []byte, wire string, client, n int) []byte {
	const before = "SELECT val FROM state WHERE uid = '" + largeKey + "' /* id=r"
	return appendNumbered(b, wire, client, n, before, ",r=1,c=any,z=", ",d=2000,cluster=0 */")
}
