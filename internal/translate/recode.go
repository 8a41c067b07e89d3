package translate

import (
	"encoding/binary"
	"errors"

	"threadsail/internal/protocol/mysql"
)

// Foreign tells that a client's text is not the UTF-8 that servers speak, so that statements and answers of its own wire must
// be written anew too.
func (c Client) Foreign() bool { return c.Charset.table != nil }

// Recode writes a server's whole answer to a QUERY, or an EXECUTE (binary), anew in the client's charset. rename gives columns the
// names that the client knows; nil: they keep theirs.
func (c Client) Recode(raw []byte, inBinary bool, rename func(string) string) ([]byte, error) {
	var packets [][]byte
	for len(raw) > 0 {
		_, p, n, err := mysql.Next(raw, mysql.MaxAnswer)
		if err != nil || n == 0 || len(p) == 0 {
			return nil, errors.Join(err, errRecode)
		}
		packets, raw = append(packets, p), raw[n:]
	}
	if len(packets) == 1 {
		if code, state, text, ok := mysql.ParseError(packets[0]); ok {
			words, err := c.Charset.Encode([]byte(text))
			if err != nil {
				words = []byte(OfMySQL(code, state).String())
			}
			return mysql.Append(nil, 1, mysql.Error(code, state, string(words))), nil
		}
		return mysql.Append(nil, 1, packets[0]), nil
	}
	n, _, ok := mysql.CutCount(packets[0])
	if !ok || len(packets) < int(n)+3 {
		return nil, errRecode
	}
	last := packets[len(packets)-1]
	r := &Result{}
	if len(last) >= 3 {
		r.Warnings = binary.LittleEndian.Uint16(last[1:])
	}
	for _, p := range packets[1 : n+1] {
		d, err := mysql.ParseDefinition(p)
		if err != nil {
			return nil, err
		}
		col := ColumnOf(d)
		if rename != nil {
			col.Name = rename(col.Name)
		}
		r.Columns = append(r.Columns, col)
	}
	for _, p := range packets[n+2 : len(packets)-1] {
		row, err := Row(r.Columns, p, inBinary, UTF8MB4)
		if err != nil {
			return nil, err
		}
		r.Rows = append(r.Rows, row)
	}
	return c.Append(nil, r, inBinary)
}

var errRecode = errors.New("translate: an answer that can't be written in the client's charset")

// RecodeParams writes the texts among the values of an EXECUTE anew in UTF-8. What is bound as a blob stays as it is.
func (c Client) RecodeParams(e mysql.Execute, params int) (mysql.Execute, error) {
	rest, out := e.Values, []byte(nil)
	for i := range params {
		if e.Nulls[i/8]&(1<<(i%8)) != 0 {
			continue
		}
		t, unsigned := e.Types[2*i], e.Types[2*i+1]&0x80 != 0
		v, behind, ok := cutBinary(kindOf(t), unsigned, rest)
		if !ok {
			return e, errParams
		}
		if t == mysql.TypeVarchar || t == mysql.TypeVarString || t == mysql.TypeString {
			text, err := c.Charset.Decode(v)
			if err != nil {
				return e, err
			}
			out = mysql.AppendText(out, text)
		} else {
			out = append(out, rest[:len(rest)-len(behind)]...)
		}
		rest = behind
	}
	e.Values = out
	return e, nil
}
