package serverlist

// Field is what a column of a file, or a variable of a host, tells of a server.
type Field uint8

// The fields of a server.
const (
	FieldName    Field = iota
	FieldHost          // empty: the name
	FieldPort          // empty: that of the wire, or Constraints.DefaultPort
	FieldZone          // empty: none
	FieldCluster       // empty: 0
	FieldState         // empty: ready
	FieldWeight        // empty: 1
	FieldWire          // empty: that of the clients
	FieldVersion       // empty: unknown
	FieldCount         // the number of fields
)

var fieldNames = [FieldCount]string{"name", "host", "port", "zone", "cluster", "state", "weight", "wire", "version"}

func (f Field) String() string { return fieldNames[f] }

// Row is one server as a file describes it, unchecked.
type Row struct {
	Line   int // where the row begins, counted from 1
	Values [FieldCount]string
	Lines  [FieldCount]int // the line of a value that stands apart from its row; 0: the row's
}

// line returns the line of a field's value.
func (r *Row) line(f Field) int {
	if r.Lines[f] > 0 {
		return r.Lines[f]
	}
	return r.Line
}
