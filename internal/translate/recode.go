package translate

import (
	"errors"
	"slices"

	"threadsail/internal/protocol/mysql"
)

// Foreign tells that a client's text is not the UTF-8 that servers speak, so that statements and answers of its own wire must
// be written anew too.
func (c Client) Foreign() bool { return c.Charset.table != nil }

// Recode writes a server's whole answer to a QUERY, or an EXECUTE (binary), anew in the client's charset. rename gives columns the
// names that the client knows; nil: they keep theirs.
func (c Client) Recode(raw []byte, inBinary bool, rename func(string) string) ([]byte, error) {
	if _, p, n, err := mysql.Next(raw, mysql.MaxAnswer); err == nil && n == len(raw) && len(p) > 0 { // an OK or an error
		code, state, text, ok := mysql.ParseError(p)
		if !ok {
			return raw, nil
		}
		words, err := c.Charset.Encode([]byte(text))
		if err != nil {
			words = []byte(OfMySQL(code, state).String())
		}
		return mysql.Append(nil, 1, mysql.Error(code, state, string(words))), nil
	}
	r, _, err := ReadAnswer(raw, inBinary)
	if err != nil {
		return nil, err
	}
	for i := range r.Columns {
		if rename != nil {
			r.Columns[i].Name = rename(r.Columns[i].Name)
		}
	}
	return c.Append(nil, r, inBinary)
}

var errRecode = errors.New("translate: an answer that can't be written in the client's charset")

// RecodeParams writes the texts among the values of an EXECUTE anew in UTF-8. What is bound as a blob stays as it is, and so does
// what was sent ahead, long, of which no value stands here.
func (c Client) RecodeParams(e mysql.Execute, params int, long []mysql.LongData) (mysql.Execute, error) {
	rest, out := e.Values, []byte(nil)
	for i := range params {
		ahead := func(d mysql.LongData) bool { return int(d.Param) == i }
		if e.Nulls[i/8]&(1<<(i%8)) != 0 || slices.ContainsFunc(long, ahead) {
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
	if len(rest) > 0 {
		return e, errParams
	}
	e.Values = out
	return e, nil
}
