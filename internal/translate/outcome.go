package translate

import "threadsail/internal/policy"

// Meaning is what an error tells a client to do.
type Meaning uint8

// The meanings, from the one that promises least. Unknown codes are Unknown.
const (
	Unknown      Meaning = iota // it may have run; nobody may repeat it unasked
	MayHaveRun                  // the pooler has no answer
	Refused                     // nothing has run; come again, maybe after a time told
	Cancelled                   // by the client's own wish; it may have run
	Duplicate                   // a key is there already
	Reference                   // a row that others point to, or that points nowhere
	NotNull                     //
	CheckFailed                 //
	Syntax                      //
	NoTable                     //
	NoColumn                    //
	NoFunction                  //
	NoDatabase                  //
	Access                      // not allowed
	Range                       // a value that does not fit
	TooLong                     // a text that does not fit
	BadValue                    // a text that is no such value
	BadCharacter                // a character that the other side can't write
	DivByZero                   //
	Deadlock                    // the server has undone it; a client may repeat it
	LockWait                    // the same, of a wait for a lock
	NotSupported                // the pooler or the server does not do that
	NotPrimary                  // nothing has run: only the primary takes it
	Behind                      // nothing has run: the replica is too far behind
	ServerFull                  // nothing has run
	meanings                    // how many there are
)

// Generation is how a MySQL client sees the world.
type Generation uint8

// The generations. What a client may know of an error's number is by its server's age when it was written.
const (
	Gen50 Generation = iota // 5.0 to 5.1: no SIGNAL, no read-only numbers
	Gen55                   // 5.5 to 5.7
	Gen80                   // 8 and later
)

// mysqlError is an error as MySQL clients read it.
type mysqlError struct {
	code  uint16
	state string
}

// outcomes is the one table of errors by meaning. A meaning's own line in each column is what clients of that kind act on
// correctly; the reasons are in docs/translation.md.
var outcomes = [meanings]struct {
	name     string
	mysql    mysqlError
	old      mysqlError // for Gen50, where it differs
	postgres string
	result   policy.Result // of an attempt that ended so; rules.OK: the statement's own fault, the client must hear it
}{
	Unknown:      {"unknown error", mysqlError{1105, "HY000"}, mysqlError{}, "XX000", policy.ServerError},
	MayHaveRun:   {"failed, may have run", mysqlError{1317, "70100"}, mysqlError{}, "58000", policy.ServerError},
	Refused:      {"refused, untouched", mysqlError{1040, "08004"}, mysqlError{}, "53300", policy.Overloaded},
	Cancelled:    {"cancelled", mysqlError{1317, "70100"}, mysqlError{}, "57014", policy.ServerError},
	Duplicate:    {"duplicate key", mysqlError{1062, "23000"}, mysqlError{}, "23505", policy.OK},
	Reference:    {"foreign key", mysqlError{1452, "23000"}, mysqlError{1216, "23000"}, "23503", policy.OK},
	NotNull:      {"not null", mysqlError{1048, "23000"}, mysqlError{}, "23502", policy.OK},
	CheckFailed:  {"check constraint", mysqlError{3819, "HY000"}, mysqlError{1216, "23000"}, "23514", policy.OK},
	Syntax:       {"syntax", mysqlError{1064, "42000"}, mysqlError{}, "42601", policy.OK},
	NoTable:      {"no such table", mysqlError{1146, "42S02"}, mysqlError{}, "42P01", policy.OK},
	NoColumn:     {"no such column", mysqlError{1054, "42S22"}, mysqlError{}, "42703", policy.OK},
	NoFunction:   {"no such function", mysqlError{1305, "42000"}, mysqlError{}, "42883", policy.OK},
	NoDatabase:   {"no such database", mysqlError{1049, "42000"}, mysqlError{}, "3D000", policy.OK},
	Access:       {"not allowed", mysqlError{1142, "42000"}, mysqlError{}, "42501", policy.OK},
	Range:        {"value out of range", mysqlError{1264, "22003"}, mysqlError{}, "22003", policy.OK},
	TooLong:      {"value too long", mysqlError{1406, "22001"}, mysqlError{}, "22001", policy.OK},
	BadValue:     {"not such a value", mysqlError{1292, "22007"}, mysqlError{}, "22007", policy.OK},
	BadCharacter: {"character can't be written", mysqlError{1366, "HY000"}, mysqlError{}, "22P05", policy.OK},
	DivByZero:    {"division by zero", mysqlError{1365, "22012"}, mysqlError{}, "22012", policy.OK},
	Deadlock:     {"deadlock", mysqlError{1213, "40001"}, mysqlError{}, "40P01", policy.ServerError},
	LockWait:     {"lock not available", mysqlError{1205, "HY000"}, mysqlError{}, "55P03", policy.ServerError},
	NotSupported: {"not supported", mysqlError{1235, "42000"}, mysqlError{}, "0A000", policy.OK},
	NotPrimary:   {"not the primary", mysqlError{1290, "HY000"}, mysqlError{}, "25006", policy.Misdirected},
	Behind:       {"too far behind", mysqlError{1290, "HY000"}, mysqlError{}, "72000", policy.Misdirected},
	ServerFull:   {"server full", mysqlError{1040, "08004"}, mysqlError{}, "53300", policy.Overloaded},
}

func (m Meaning) String() string { return outcomes[m].name }

// Result is the end of an attempt whose error means this.
func (m Meaning) Result() policy.Result { return outcomes[m].result }

// Own tells that the error is the statement's own, wherever it runs: the client must hear it.
func (m Meaning) Own() bool { return outcomes[m].result == policy.OK }

// MySQL is the error as a MySQL client of a generation reads it.
func (m Meaning) MySQL(g Generation) (code uint16, state string) {
	o := outcomes[m]
	if g == Gen50 && o.old.code != 0 {
		return o.old.code, o.old.state
	}
	return o.mysql.code, o.mysql.state
}

// Postgres is its SQLSTATE for a PostgreSQL client.
func (m Meaning) Postgres() string { return outcomes[m].postgres }

// OfPostgres is what a server's SQLSTATE means.
func OfPostgres(state string) Meaning {
	if m, ok := fromPostgres[state]; ok {
		return m
	}
	if len(state) != 5 {
		return Unknown
	}
	switch state[:2] { // the class, where no code says more
	case "0A":
		return NotSupported
	case "22":
		return BadValue
	case "23":
		return CheckFailed
	case "42":
		return Syntax
	}
	return Unknown
}

// OfMySQL is what a server's error means.
func OfMySQL(code uint16, state string) Meaning {
	if m, ok := fromMySQL[code]; ok {
		return m
	}
	if len(state) != 5 {
		return Unknown
	}
	switch state[:2] {
	case "0A":
		return NotSupported
	case "21", "42":
		return Syntax
	case "22":
		return BadValue
	case "23":
		return CheckFailed
	case "3D":
		return NoDatabase
	}
	return Unknown
}

var fromPostgres = map[string]Meaning{"22P02": BadValue, "22008": BadValue, "40001": Deadlock, "57P03": ServerFull, "53400": ServerFull,
	"42P02": Syntax, "42804": Syntax, "42803": Syntax, "42702": Syntax, "21000": Syntax, "22021": BadCharacter, "3F000": NoDatabase,
	"23001": Reference}

var fromMySQL = map[uint16]Meaning{1451: Reference, 1217: Reference, 1216: Reference, 1452: Reference, 1364: NotNull, 1586: Duplicate,
	1836: NotPrimary, 1203: ServerFull, 1461: ServerFull, 1040: ServerFull, 1690: Range, 1265: BadValue, 1149: Syntax, 1044: Access,
	1143: Access, 1370: Access, 1317: Cancelled, 3024: Cancelled, 4025: CheckFailed, 3854: BadCharacter, 1290: NotPrimary}

func init() { // each meaning's own codes lead back to it, unless another has said so above
	for m := range meanings {
		o := outcomes[m]
		if _, ok := fromPostgres[o.postgres]; !ok && m != Refused && m != Unknown && m != MayHaveRun {
			fromPostgres[o.postgres] = m
		}
		if _, ok := fromMySQL[o.mysql.code]; !ok && m != Unknown {
			fromMySQL[o.mysql.code] = m
		}
	}
}
