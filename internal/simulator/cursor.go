package simulator

import (
	"encoding/binary"
	"fmt"
	"math"
)

// cursor reads a frame field by field. Once something is wrong, err says what, and all further fields are zero.
type cursor struct {
	frame []byte
	at    int // the next byte to read
	err   error
}

// fail keeps the first error.
func (c *cursor) fail(format string, arguments ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, arguments...)
	}
}

// bytes returns the next bytes, which point into the frame; nil: they are not there.
func (c *cursor) bytes(n int) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > c.left() {
		c.fail("byte %d: %d bytes wanted, %d left", c.at, n, c.left())
		return nil
	}
	field := c.frame[c.at : c.at+n]
	c.at += n
	return field
}

func (c *cursor) left() int { return len(c.frame) - c.at }

func (c *cursor) uint8() uint8 {
	if field := c.bytes(1); field != nil {
		return field[0]
	}
	return 0
}

func (c *cursor) uint16() uint16 {
	if field := c.bytes(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

func (c *cursor) uint32() uint32 {
	if field := c.bytes(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (c *cursor) uint64() uint64 {
	if field := c.bytes(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

func (c *cursor) float32() float32 {
	value := math.Float32frombits(c.uint32())
	c.checkFinite(float64(value), 4)
	return value
}

func (c *cursor) float64() float64 {
	value := math.Float64frombits(c.uint64())
	c.checkFinite(value, 8)
	return value
}

// checkFinite checks a number of some bytes that has just been read.
func (c *cursor) checkFinite(value float64, size int) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		c.fail("byte %d: not a finite number", c.at-size)
	}
}

// report reads the values of a server's report, behind their number.
func (c *cursor) report() []float32 {
	n := int(c.uint8())
	if n == 0 || c.err != nil {
		return nil
	}
	if n*4 > c.left() {
		c.fail("byte %d: a report of %d values does not fit", c.at-1, n)
		return nil
	}
	values := make([]float32, n)
	for i := range values {
		values[i] = c.float32()
	}
	return values
}

// entries reads the entries of a list, behind their number.
func (c *cursor) entries() []ServerEntry {
	n := int(c.uint32())
	if c.err != nil {
		return nil
	}
	if n > c.left()/EntrySize {
		c.fail("byte %d: a list of %d entries does not fit", c.at-4, n)
		return nil
	}
	entries := make([]ServerEntry, n)
	for i := range entries {
		entries[i] = c.entry()
	}
	return entries
}

func (c *cursor) entry() ServerEntry {
	entry := ServerEntry{
		Server:       c.uint32(),
		Zone:         c.uint16(),
		Kind:         c.uint16(),
		Group:        c.uint16(),
		Availability: Availability(c.uint8()),
		Head:         c.float32(),
		Power:        c.float32(),
		StartedMs:    c.float64(),
	}
	if entry.Availability > Draining {
		c.fail("byte %d: unknown availability %d", c.at-17, entry.Availability)
	}
	return entry
}
