package translate

import (
	"strings"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
)

// renamed are statements that newer MySQL servers know by another name only, as published for 8.4 and 9.
var renamed = []struct {
	old, now     string
	major, minor int // the version that first knows no other name
}{
	{"SHOW SLAVE STATUS", "SHOW REPLICA STATUS", 8, 4},
	{"SHOW MASTER STATUS", "SHOW BINARY LOG STATUS", 8, 4},
	{"SHOW SLAVE HOSTS", "SHOW REPLICAS", 8, 4},
	{"SHOW MASTER LOGS", "SHOW BINARY LOGS", 8, 4},
	{"SELECT SQL_CACHE", "SELECT", 8, 0},
}

// ForVersion is a MySQL statement as a server of a version knows it. back tells that the columns of its answer have other names
// there too, which OldColumn gives back.
func ForVersion(text string, v routes.Version) (out string, back bool) {
	if v.Major >= 8 && mayCall(text) {
		text = withoutPassword(text)
	}
	if len(text) == 0 || text[0]|0x20 != 's' {
		return text, false
	}
	for _, r := range renamed {
		if !v.AtLeast(r.major, r.minor) || v.Major == 0 && r.major > 0 {
			continue
		}
		if rest, ok := cutWords(text, r.old); ok {
			return r.now + rest, strings.HasPrefix(r.old, "SHOW")
		}
	}
	return text, false
}

// mayCall is a quick look for PASSWORD, on the way of every statement.
func mayCall(text string) bool {
	for i := strings.IndexByte(text, '('); i >= 0; {
		if i >= 8 && strings.EqualFold(text[i-8:i], "PASSWORD") {
			return true
		}
		next := strings.IndexByte(text[i+1:], '(')
		if next < 0 {
			return false
		}
		i += 1 + next
	}
	return false
}

// cutWords takes words off the front of a statement, however they are parted and written.
func cutWords(text, words string) (rest string, ok bool) {
	for w := range strings.FieldsSeq(words) {
		text = strings.TrimLeft(text, " \t\r\n")
		if len(text) < len(w) || !strings.EqualFold(text[:len(w)], w) || len(text) > len(w) && isNameByte(text[len(w)]) {
			return "", false
		}
		text = text[len(w):]
	}
	return text, true
}

var oldWords = strings.NewReplacer("Source", "Master", "Replica", "Slave", "source", "master", "replica", "slave")

// OldColumn is a column's name as servers before the renaming had it.
func OldColumn(name string) string { return oldWords.Replace(name) }

// newErrors is the least number of the errors that servers before 8 did not have.
const newErrors = 3000

// OldError is an ERR packet's payload as a client of a generation knows its number; unchanged where it does.
func (c Client) OldError(p []byte) []byte {
	code, state, text, ok := mysql.ParseError(p)
	if !ok || code < newErrors || c.Generation >= Gen80 {
		return p
	}
	old, oldState := OfMySQL(code, state).MySQL(Gen50)
	if old >= newErrors {
		old, oldState = Unknown.MySQL(Gen50)
	}
	return mysql.Error(old, oldState, text)
}

// FieldList makes the answer to a COM_FIELD_LIST of that to a SELECT of no rows: the definitions, each with its default, which
// nobody has told, and an EOF. An answer without columns, as an OK packet is, becomes an error.
func FieldList(raw []byte) []byte {
	var out []byte
	seq := byte(0)
	for i := 0; len(raw) > 0; i++ {
		_, p, n, err := mysql.Next(raw, mysql.MaxAnswer)
		if err != nil || n == 0 || len(p) == 0 || p[0] == 0xff {
			return raw
		}
		raw = raw[n:]
		switch {
		case i == 0: // the count
			continue
		case mysql.IsEOF(p):
			return mysql.Append(out, seq+1, p)
		}
		seq++
		out = mysql.Append(out, seq, append(append([]byte(nil), p...), 0xfb))
	}
	return mysql.Append(nil, 1, mysql.Error(mysql.ErrUnknown, "HY000", "The server's answer has no columns"))
}
