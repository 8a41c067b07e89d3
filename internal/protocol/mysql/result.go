package mysql

import "encoding/binary"

// Column types.
const (
	TypeDecimal    = 0x00
	TypeTiny       = 0x01
	TypeShort      = 0x02
	TypeLong       = 0x03
	TypeFloat      = 0x04
	TypeDouble     = 0x05
	TypeNull       = 0x06
	TypeTimestamp  = 0x07
	TypeLongLong   = 0x08
	TypeInt24      = 0x09
	TypeDate       = 0x0a
	TypeTime       = 0x0b
	TypeDateTime   = 0x0c
	TypeYear       = 0x0d
	TypeNewDate    = 0x0e
	TypeVarchar    = 0x0f
	TypeBit        = 0x10
	TypeJSON       = 0xf5
	TypeNewDecimal = 0xf6
	TypeEnum       = 0xf7
	TypeSet        = 0xf8
	TypeTinyBlob   = 0xf9
	TypeMediumBlob = 0xfa
	TypeLongBlob   = 0xfb
	TypeBlob       = 0xfc
	TypeVarString  = 0xfd
	TypeString     = 0xfe
	TypeGeometry   = 0xff
)

// Column flags.
const (
	FlagNotNull  = 1
	FlagBlob     = 16
	FlagUnsigned = 32
	FlagBinary   = 128
)

// CharsetBinary is the number of the collation of bytes and of all that is no text.
const CharsetBinary = 63

// Definition describes one column of a result.
type Definition struct {
	Schema, Table, Name string
	Charset             uint16
	Length              uint32
	Type                byte
	Flags               uint16
	Decimals            byte
}

// Payload is its form on the wire.
func (d Definition) Payload() []byte {
	b := appendLenencText(nil, "def")
	for _, s := range []string{d.Schema, d.Table, d.Table, d.Name, d.Name} {
		b = appendLenencText(b, s)
	}
	b = append(b, 0x0c)
	b = binary.LittleEndian.AppendUint16(b, d.Charset)
	b = binary.LittleEndian.AppendUint32(b, d.Length)
	b = append(b, d.Type)
	b = binary.LittleEndian.AppendUint16(b, d.Flags)
	return append(b, d.Decimals, 0, 0)
}

// ParseDefinition reads a column's definition.
func ParseDefinition(p []byte) (d Definition, err error) {
	r := &reader{b: p}
	r.lenencBytes() // the catalog
	d.Schema = string(r.lenencBytes())
	d.Table = string(r.lenencBytes())
	r.lenencBytes()
	d.Name = string(r.lenencBytes())
	r.lenencBytes()
	r.lenenc()
	d.Charset = r.u16()
	d.Length = r.u32()
	d.Type = r.u8()
	d.Flags = r.u16()
	d.Decimals = r.u8()
	r.take(2)
	return d, r.err
}

// AppendText adds a text with its length, as rows and parameters hold it.
func AppendText(b, text []byte) []byte { return append(appendLenenc(b, uint64(len(text))), text...) }

// CutText takes a text with its length off b; null tells the NULL of a text row. ok is false where b is too short.
func CutText(b []byte) (text, rest []byte, null, ok bool) {
	r := &reader{b: b}
	n, null := r.lenenc()
	if null {
		return nil, r.b, true, r.err == nil
	}
	if r.err != nil || n > uint64(len(r.b)) {
		return nil, nil, false, false
	}
	text = r.take(int(n))
	return text, r.b, false, true
}

// AppendCount adds a length-encoded number.
func AppendCount(b []byte, n uint64) []byte { return appendLenenc(b, n) }

// CutCount takes a length-encoded number off b.
func CutCount(b []byte) (n uint64, rest []byte, ok bool) {
	r := &reader{b: b}
	n, null := r.lenenc()
	return n, r.b, r.err == nil && !null
}

// Done is the payload of an OK packet that tells what a statement has changed.
func Done(affected, insertID uint64, warnings uint16) []byte {
	b := appendLenenc([]byte{0}, affected)
	b = appendLenenc(b, insertID)
	b = binary.LittleEndian.AppendUint16(b, statusAutocommit)
	return binary.LittleEndian.AppendUint16(b, warnings)
}

// EndOfRows is the payload of an EOF packet with its count of warnings.
func EndOfRows(warnings uint16) []byte {
	b := binary.LittleEndian.AppendUint16([]byte{0xfe}, warnings)
	return binary.LittleEndian.AppendUint16(b, statusAutocommit)
}

// Warnings counts those of an EOF packet.
func Warnings(eof []byte) uint16 {
	if !IsEOF(eof) || len(eof) < 3 {
		return 0
	}
	return binary.LittleEndian.Uint16(eof[1:])
}
