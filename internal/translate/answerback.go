package translate

import (
	"encoding/hex"
	"fmt"
	"strings"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
)

// ReadAnswer reads a MySQL server's whole answer to a QUERY, or an EXECUTE (binary): a result, or the statement's own error.
func ReadAnswer(raw []byte, inBinary bool) (*Result, *Error, error) {
	var packets [][]byte
	for len(raw) > 0 {
		_, p, n, err := mysql.Next(raw, mysql.MaxAnswer)
		if err != nil || n == 0 || len(p) == 0 {
			return nil, nil, errRecode
		}
		packets, raw = append(packets, p), raw[n:]
	}
	if len(packets) == 0 {
		return nil, nil, errRecode
	}
	if len(packets) == 1 {
		if code, state, text, ok := mysql.ParseError(packets[0]); ok {
			return nil, &Error{OfMySQL(code, state), text}, nil
		}
		r, rest, ok := &Result{}, packets[0][1:], packets[0][0] == 0
		if ok {
			r.Affected, rest, ok = mysql.CutCount(rest)
		}
		if ok {
			r.InsertID, _, ok = mysql.CutCount(rest)
		}
		if !ok {
			return nil, nil, errRecode
		}
		return r, nil, nil
	}
	n, _, ok := mysql.CutCount(packets[0])
	if !ok || n == 0 || uint64(len(packets)) < n+3 {
		return nil, nil, errRecode
	}
	r := &Result{Warnings: mysql.Warnings(packets[len(packets)-1])}
	for _, p := range packets[1 : n+1] {
		d, err := mysql.ParseDefinition(p)
		if err != nil {
			return nil, nil, err
		}
		r.Columns = append(r.Columns, ColumnOf(d))
	}
	for _, p := range packets[n+2 : len(packets)-1] {
		row, err := Row(r.Columns, p, inBinary, UTF8MB4)
		if err != nil {
			return nil, nil, err
		}
		r.Rows = append(r.Rows, row)
	}
	return r, nil, nil
}

// postgresType is the number of the type that holds every value of a column.
func postgresType(c Column) uint32 {
	switch c.Kind {
	case Int8, Bool, Year:
		return oidInt2
	case Int16:
		if c.Unsigned {
			return oidInt4
		}
		return oidInt2
	case Int32:
		if c.Unsigned {
			return oidInt8
		}
		return oidInt4
	case Int64:
		if c.Unsigned {
			return oidNumeric
		}
		return oidInt8
	}
	return map[Kind]uint32{Bytes: oidBytea, Float32: oidFloat4, Float64: oidFloat8, Decimal: oidNumeric, Date: oidDate, Time: oidInterval,
		DateTime: oidTimestamp, Stamp: oidTimestamp, JSON: oidJSON, Bit: oidVarbit}[c.Kind] // Text and Null: below
}

// toPostgres is a value's text form for a client.
func toPostgres(c Column, v Value) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if err := validate(c, v); err != nil {
		return nil, err
	}
	switch c.Kind {
	case Bytes:
		return []byte(`\x` + hex.EncodeToString(v)), nil
	case Bit:
		var b strings.Builder
		for _, x := range v {
			fmt.Fprintf(&b, "%08b", x)
		}
		return []byte(b.String()), nil
	case Date, DateTime, Stamp:
		if _, _, _, _, zero, _ := dateTime(string(v)); zero {
			return nil, OutOfRange(c.Name, "%s, which PostgreSQL has not", v)
		}
	case Text, JSON:
		if strings.IndexByte(string(v), 0) >= 0 {
			return nil, &Error{BadCharacter, "a text of column '" + c.Name + "' holds the character \\0"}
		}
	}
	return v, nil
}

// AppendPostgres adds a MySQL server's answer to a translated statement as PostgreSQL's clients read it, up to ReadyForQuery.
func (st BackStatement) AppendPostgres(b, raw []byte) []byte {
	r, own, err := ReadAnswer(raw, false)
	if err == nil && own == nil {
		var out []byte
		if out, err = st.result(r); err == nil {
			return append(b, out...)
		}
	}
	if own == nil {
		own = AsError(err)
	}
	return pgwire.AppendError(b, "ERROR", own.Meaning.Postgres(), own.Text, "")
}

func (st BackStatement) result(r *Result) ([]byte, error) {
	var out []byte
	rows := int(r.Affected)
	columns, values := r.Columns, r.Rows
	if st.Column != "" {
		columns, values = []Column{{Name: st.Column}}, [][]Value{{st.Value}}
	}
	if len(columns) > 0 {
		fields := make([]pgwire.Field, len(columns))
		for i, c := range columns {
			fields[i] = pgwire.Field{Name: c.Name, Type: postgresType(c), Modifier: -1}
			if fields[i].Type == 0 {
				fields[i].Type = oidText
			}
		}
		out = pgwire.AppendFields(out, fields)
		for _, row := range values {
			texts := make([][]byte, len(row))
			for i, v := range row {
				var err error
				if texts[i], err = toPostgres(columns[i], v); err != nil {
					return nil, err
				}
			}
			out = pgwire.AppendValues(out, texts)
		}
	}
	if st.Verb == "SELECT" {
		rows = len(values)
	}
	return pgwire.Append(out, 'C', pgwire.Tag(st.Verb, rows), "\x00"), nil
}
