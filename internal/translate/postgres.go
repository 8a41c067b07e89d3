package translate

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// PostgreSQL's types by their numbers in pg_type.
const (
	oidBool        = 16
	oidBytea       = 17
	oidChar        = 18
	oidName        = 19
	oidInt8        = 20
	oidInt2        = 21
	oidInt4        = 23
	oidText        = 25
	oidOID         = 26
	oidJSON        = 114
	oidXML         = 142
	oidFloat4      = 700
	oidFloat8      = 701
	oidUnknown     = 705
	oidBpchar      = 1042
	oidVarchar     = 1043
	oidDate        = 1082
	oidTime        = 1083
	oidTimestamp   = 1114
	oidTimestamptz = 1184
	oidInterval    = 1186
	oidBit         = 1560
	oidVarbit      = 1562
	oidNumeric     = 1700
	oidUUID        = 2950
	oidJSONB       = 3802
	oidVoid        = 2278
)

// postgresTypes has each type that is translated. Others have no MySQL type that holds their values, and are turned down by
// name where the server tells it, by number else.
var postgresTypes = map[uint32]struct {
	name string
	kind Kind
}{oidBool: {"boolean", Bool}, oidBytea: {"bytea", Bytes}, oidChar: {"\"char\"", Text}, oidName: {"name", Text}, oidInt8: {"bigint", Int64},
	oidInt2: {"smallint", Int16}, oidInt4: {"integer", Int32}, oidText: {"text", Text}, oidOID: {"oid", Int64}, oidJSON: {"json", JSON},
	oidXML: {"xml", Text}, oidFloat4: {"real", Float32}, oidFloat8: {"double precision", Float64}, oidUnknown: {"unknown", Text},
	oidBpchar: {"character", Text}, oidVarchar: {"character varying", Text}, oidDate: {"date", Date}, oidTime: {"time", Time},
	oidTimestamp: {"timestamp", DateTime}, oidTimestamptz: {"timestamp with time zone", Stamp}, oidInterval: {"interval", Time},
	oidBit: {"bit", Bit}, oidVarbit: {"bit varying", Bit}, oidNumeric: {"numeric", Decimal}, oidUUID: {"uuid", Text}, oidJSONB: {"jsonb", JSON},
	oidVoid: {"void", Null}}

// PostgresColumn is the neutral column of a field that a server describes: its type's number and modifier.
func PostgresColumn(name string, oid uint32, modifier int32) (Column, error) {
	t, ok := postgresTypes[oid]
	if !ok {
		return Column{}, &Error{NotSupported, fmt.Sprintf("This pooler does not translate column '%s' of PostgreSQL's type number %d", name, oid)}
	}
	c := Column{Name: name, Kind: t.kind}
	switch {
	case oid == oidNumeric && modifier >= 4:
		c.Decimals = uint8((modifier - 4) & 0xffff)
		c.Length = uint32((modifier-4)>>16&0xffff) + 2
	case oid == oidNumeric:
		c.Decimals = 31 // MySQL's word for as many as there are
	case (oid == oidVarchar || oid == oidBpchar) && modifier >= 4:
		c.Length = uint32(modifier-4) * 4
	case oid == oidFloat4 || oid == oidFloat8:
		c.Decimals = 31
	case oid == oidTimestamp || oid == oidTimestamptz || oid == oidTime || oid == oidInterval:
		c.Decimals = 6
	}
	return c, nil
}

// FromPostgres is the canonical value of what a server wrote in text form, with DateStyle ISO, IntervalStyle postgres and the
// session's time zone UTC.
func FromPostgres(c Column, oid uint32, text []byte) (Value, error) {
	if text == nil {
		return nil, nil
	}
	s := string(text)
	out := func(v string, ok bool) (Value, error) {
		if !ok {
			return nil, OutOfRange(c.Name, "%.60q of PostgreSQL", s)
		}
		if err := validate(c, Value(v)); err != nil {
			return nil, err
		}
		return Value(v), nil
	}
	switch oid {
	case oidBool:
		return out(map[string]string{"t": "1", "f": "0"}[s], s == "t" || s == "f")
	case oidBytea:
		raw, err := hex.DecodeString(strings.TrimPrefix(s, `\x`))
		if err != nil || !strings.HasPrefix(s, `\x`) {
			return nil, OutOfRange(c.Name, "a bytea that is not in hexadecimal")
		}
		return append(Value{}, raw...), nil
	case oidTimestamptz:
		v, ok := strings.CutSuffix(s, "+00")
		return out(v, ok)
	case oidDate, oidTimestamp:
		return out(s, !strings.HasSuffix(s, " BC") && !strings.Contains(s, "infinity") && len(s) >= 10 && s[4] == '-')
	case oidTime:
		return out(s, s < "24:00:00" || s == "24:00:00")
	case oidInterval:
		v, ok := interval(s)
		return out(v, ok)
	case oidBit, oidVarbit:
		return bits(c, s)
	case oidVoid:
		return nil, nil
	}
	return out(s, true)
}

// interval turns days and a clock into hours; months and years have no fixed length.
func interval(s string) (string, bool) {
	days := 0
	if n, rest, ok := strings.Cut(s, " day"); ok {
		var err error
		if days, err = strconv.Atoi(n); err != nil || days < -1000 || days > 1000 {
			return "", false
		}
		if s = strings.TrimPrefix(strings.TrimPrefix(rest, "s"), " "); s == "" {
			s = "00:00:00"
		}
	}
	c, ok := parseClock(strings.TrimPrefix(s, "+"))
	if !ok {
		return "", false
	}
	seconds := (days*24+c.sign*c.hour)*3600 + c.sign*(c.minute*60+c.second)
	micros := seconds*1e6 + c.sign*c.micro
	c.sign = 1
	if micros < 0 {
		c.sign, micros = -1, -micros
	}
	c.hour, c.minute, c.second, c.micro = micros/1e6/3600, micros/1e6/60%60, micros/1e6%60, micros%1e6
	return c.String(), c.hour <= maxHours
}

// bits packs a string of 0 and 1, as MySQL's BIT has it.
func bits(c Column, s string) (Value, error) {
	if len(s) > 64 {
		return nil, OutOfRange(c.Name, "%d bits", len(s))
	}
	n, err := strconv.ParseUint(s, 2, 64)
	if err != nil {
		return nil, OutOfRange(c.Name, "%.70q", s)
	}
	out := make(Value, (len(s)+7)/8)
	for i := len(out) - 1; i >= 0; i-- {
		out[i] = byte(n)
		n >>= 8
	}
	return out, nil
}

// ToPostgresParam is the text form of a bound value for a parameter of a type that the server has told; cs is what the client
// writes its text in.
func ToPostgresParam(p Param, oid uint32, cs Charset, number int) ([]byte, error) {
	if p.Value == nil {
		return nil, nil
	}
	name := fmt.Sprintf("parameter %d", number)
	s := string(p.Value)
	switch oid {
	case oidBytea:
		if p.Kind == Text || p.Kind == Bytes || p.Kind == Bit {
			return []byte(`\x` + hex.EncodeToString(p.Value)), nil
		}
		return []byte(`\x` + hex.EncodeToString([]byte(s))), nil
	case oidBool:
		switch s {
		case "0", "1":
			return p.Value, nil
		}
		if p.Kind != Text {
			return nil, OutOfRange(name, "%.20q for a boolean", s)
		}
	case oidDate, oidTimestamp, oidTimestamptz:
		if p.Kind == Date || p.Kind == DateTime || p.Kind == Stamp || p.Kind == Text {
			if _, _, _, _, zero, ok := dateTime(s); ok && zero {
				return nil, &Error{BadValue, fmt.Sprintf("Incorrect datetime value: '%s' for %s: PostgreSQL has no such date", s, name)}
			}
		}
		if oid == oidTimestamptz && p.Kind != Text {
			s += "+00"
		}
		return []byte(s), nil
	case oidBit, oidVarbit:
		if p.Kind == Text || p.Kind == Bit || p.Kind == Bytes {
			var b strings.Builder
			for _, x := range p.Value {
				fmt.Fprintf(&b, "%08b", x)
			}
			return []byte(b.String()), nil
		}
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return nil, OutOfRange(name, "%.20q for bits", s)
		}
		return []byte(strconv.FormatUint(n, 2)), nil
	}
	if p.Kind == Text || p.Kind == JSON {
		text, err := cs.Decode(p.Value)
		if err != nil {
			return nil, err
		}
		if strings.IndexByte(string(text), 0) >= 0 {
			return nil, &Error{BadCharacter, "Incorrect string value: PostgreSQL's texts hold no character \\0 (" + name + ")"}
		}
		return text, nil
	}
	return []byte(s), nil
}

// PostgresTag reads how many rows a command has changed from its tag.
func PostgresTag(tag string) uint64 {
	words := strings.Fields(tag)
	if len(words) < 2 || words[0] == "SELECT" {
		return 0
	}
	n, _ := strconv.ParseUint(words[len(words)-1], 10, 64)
	return n
}
