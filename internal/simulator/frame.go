// Package wire reads and writes the frames between the simulator and a host of
// fronts. It knows layouts and bounds and decides nothing.
package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the fixed parts of a frame.
const (
	BatchHeader = 20
	ReplyHeader = 8
	EntrySize   = 27
	Slots       = 16      // numbered lists a process keeps
	maxFrame    = 1 << 30 // a longer frame is taken for garbage
)

// Codes of events.
const (
	EvOutcome uint8 = iota + 1
	EvCall
	EvDown
	EvTargets
	EvSpawn
	EvInbox
	EvStarted
	EvGone
	EvList
	EvElapsed
	EvEcho
)

// Codes of actions.
const (
	acAttempt uint8 = iota + 1
	acTurnAway
	acGiveUp
	acAbandon
	acWakeMe
	acSample
	acShutIdle
	acPost
	acEmit
	acPanic
	acObserve
	acResolve
)

// Entry is one line of a list.
type Entry struct {
	Store        uint32
	Zone, Kind   uint16
	Cell         uint16
	Availability uint8
	Head, Power  float32
	BootMs       float64
}

// Event is one record of a batch; Code tells which fields count.
type Event struct {
	Code    uint8
	Who     uint16
	Handle  uint32
	Store   uint32
	Lane    uint16
	Session uint64
	Ms      float64 // patience, or time spent
	HintMs  float64
	Cluster float32
	WroteMs float32
	Bits    uint8
	Note    uint32
	Round   uint8
	RC      uint16
	Closed  bool
	Report  []float32
	How     uint8
	Version uint32
	Slot    uint16
	Entries []Entry
	Mark    uint32
	Seed    uint64
	Bytes   []byte // settings or a message
	Peer    uint16
}

// Batch is one frame of events.
type Batch struct {
	Number  uint32
	ClockMs float64
	Events  []Event
}

// Read reads one frame. It returns io.EOF only when the input ends between frames.
func Read(r io.Reader, buf []byte) (frame []byte, err error) {
	var head [BatchHeader]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: input ends after %d of %d bytes: %w", n, BatchHeader, err)
	}
	size := binary.LittleEndian.Uint32(head[8:])
	if size < BatchHeader || size > maxFrame {
		return nil, fmt.Errorf("batch header, byte 8: impossible frame length %d", size)
	}
	frame = append(buf[:0], head[:]...)
	for len(frame) < int(size) { // grown as bytes arrive, so that a false length costs nothing
		at := len(frame)
		step := min(int(size)-at, 64<<10)
		if cap(frame)-at < step {
			frame = append(frame, make([]byte, step)...)
		} else {
			frame = frame[:at+step]
		}
		if n, err := io.ReadFull(r, frame[at:]); err != nil {
			return nil, fmt.Errorf("batch: input ends after %d of %d bytes: %w", at+n, size, io.ErrUnexpectedEOF)
		}
	}
	return frame, nil
}

type cursor struct {
	b   []byte
	at  int
	err error
}

func (c *cursor) take(n int) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > len(c.b)-c.at {
		c.err = fmt.Errorf("byte %d: %d bytes wanted, %d left", c.at, n, len(c.b)-c.at)
		return nil
	}
	p := c.b[c.at : c.at+n]
	c.at += n
	return p
}

func (c *cursor) u8() uint8 {
	if p := c.take(1); p != nil {
		return p[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if p := c.take(2); p != nil {
		return binary.LittleEndian.Uint16(p)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if p := c.take(4); p != nil {
		return binary.LittleEndian.Uint32(p)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if p := c.take(8); p != nil {
		return binary.LittleEndian.Uint64(p)
	}
	return 0
}

func (c *cursor) f32() float32 {
	v := math.Float32frombits(c.u32())
	if f := float64(v); c.err == nil && (math.IsNaN(f) || math.IsInf(f, 0)) {
		c.err = fmt.Errorf("byte %d: not a finite number", c.at-4)
	}
	return v
}

func (c *cursor) f64() float64 {
	v := math.Float64frombits(c.u64())
	if c.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		c.err = fmt.Errorf("byte %d: not a finite number", c.at-8)
	}
	return v
}

func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || c.err != nil {
		return nil
	}
	if n*4 > len(c.b)-c.at {
		c.err = fmt.Errorf("byte %d: a report of %d values does not fit", c.at-1, n)
		return nil
	}
	v := make([]float32, n)
	for i := range v {
		v[i] = c.f32()
	}
	return v
}

func (c *cursor) entries() []Entry {
	n := int(c.u32())
	if c.err != nil {
		return nil
	}
	if n > (len(c.b)-c.at)/EntrySize {
		c.err = fmt.Errorf("byte %d: a list of %d entries does not fit", c.at-4, n)
		return nil
	}
	v := make([]Entry, n)
	for i := range v {
		v[i] = Entry{Store: c.u32(), Zone: c.u16(), Kind: c.u16(), Cell: c.u16(), Availability: c.u8(),
			Head: c.f32(), Power: c.f32(), BootMs: c.f64()}
		if c.err == nil && v[i].Availability > 2 {
			c.err = fmt.Errorf("byte %d: unknown availability %d", c.at-17, v[i].Availability)
		}
	}
	return v
}

// Decode reads the records of a frame. Byte slices in the events point into it.
func Decode(frame []byte) (*Batch, error) {
	c := &cursor{b: frame}
	b := &Batch{Number: c.u32()}
	count, size := c.u32(), c.u32()
	b.ClockMs = c.f64()
	if c.err != nil {
		return nil, fmt.Errorf("batch header: %w", c.err)
	}
	if int64(size) != int64(len(frame)) {
		return nil, fmt.Errorf("batch %d: header says %d bytes, frame has %d", b.Number, size, len(frame))
	}
	if int64(count) > int64(len(frame)-BatchHeader)/3 {
		return nil, fmt.Errorf("batch %d: %d records do not fit in %d bytes", b.Number, count, size)
	}
	b.Events = make([]Event, 0, min(int(count), 4096))
	for i := 0; i < int(count); i++ {
		start := c.at
		e := c.event()
		if c.err != nil {
			return nil, fmt.Errorf("batch %d, record %d at byte %d, code %d: %w", b.Number, i, start, e.Code, c.err)
		}
		b.Events = append(b.Events, e)
	}
	if c.at != len(frame) {
		return nil, fmt.Errorf("batch %d: %d bytes after the last record", b.Number, len(frame)-c.at)
	}
	return b, nil
}

func (c *cursor) event() (e Event) {
	e.Code = c.u8()
	if e.Code == EvList {
		e.Slot = c.u16()
		if c.err == nil && e.Slot >= Slots {
			c.err = fmt.Errorf("list number %d out of range", e.Slot)
		}
		e.Entries = c.entries()
		return e
	}
	e.Who = c.u16()
	switch e.Code {
	case EvOutcome:
		e.Handle, e.Note, e.Round, e.Ms, e.RC, e.Store = c.u32(), c.u32(), c.u8(), c.f64(), c.u16(), c.u32()
		e.Closed, e.Report = c.u8() != 0, c.report()
		c.checkRC(e.RC)
	case EvCall:
		e.Handle, e.Lane = c.u32(), c.u16()
		c.u32() // the tenant: no deployment has any
		e.Session, e.Ms, e.HintMs = c.u64(), c.f64(), c.f64()
		e.Cluster, e.WroteMs, e.Bits = c.f32(), c.f32(), c.u8()
		if c.err == nil && (e.Cluster < 0 || e.Cluster > math.MaxUint16 || e.Cluster != float32(int(e.Cluster))) {
			c.err = fmt.Errorf("impossible group %v", e.Cluster)
		}
	case EvDown:
	case EvTargets:
		e.How, e.Version, e.Slot = c.u8(), c.u32(), c.u16()
		if c.err == nil && e.How > 3 {
			c.err = fmt.Errorf("unknown kind of list %d", e.How)
		}
		if c.err == nil && e.How != 3 && e.Slot >= Slots {
			c.err = fmt.Errorf("list number %d out of range", e.Slot)
		}
	case EvSpawn:
		e.Seed = c.u64()
		e.Bytes = c.take(int(c.u32()))
	case EvInbox:
		e.Peer = c.u16()
		e.Bytes = c.take(int(c.u16()))
	case EvStarted:
		e.Handle, e.Ms, e.Store, e.Round = c.u32(), c.f64(), c.u32(), c.u8()
	case EvGone:
		e.Handle = c.u32()
	case EvElapsed:
		e.Mark = c.u32()
	case EvEcho:
		e.Store, e.RC, e.Ms, e.Report = c.u32(), c.u16(), c.f64(), c.report()
		c.checkRC(e.RC)
	default:
		if c.err == nil {
			c.err = errors.New("unknown code")
		}
	}
	return e
}

func (c *cursor) checkRC(rc uint16) {
	if c.err == nil && rc != 100 && rc != 101 && (rc < 301 || rc > 307) {
		c.err = fmt.Errorf("unknown outcome %d", rc)
	}
}

// Reply builds the frame that answers a batch.
type Reply struct {
	b []byte
}

// Reset starts the reply to a batch.
func (w *Reply) Reset(number uint32) {
	w.b = binary.LittleEndian.AppendUint32(w.b[:0], number)
	w.b = append(w.b, 0, 0, 0, 0)
}

// Bytes closes the frame and returns it; it is good until the next Reset.
func (w *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.b[4:], uint32(len(w.b)))
	return w.b
}

func (w *Reply) head(code uint8, who uint16) { w.b = append(w.b, code); w.u16(who) }
func (w *Reply) u16(v uint16)                { w.b = binary.LittleEndian.AppendUint16(w.b, v) }
func (w *Reply) u32(v uint32)                { w.b = binary.LittleEndian.AppendUint32(w.b, v) }
func (w *Reply) f64(v float64) {
	w.b = binary.LittleEndian.AppendUint64(w.b, math.Float64bits(v))
}

// Attempt sends a request to a store.
func (w *Reply) Attempt(who uint16, id, store uint32, timeoutMs float64) {
	w.head(acAttempt, who)
	w.u32(id)
	w.u32(store)
	w.f64(timeoutMs)
}

// TurnAway refuses a request.
func (w *Reply) TurnAway(who uint16, id uint32, backoffMs float64) {
	w.head(acTurnAway, who)
	w.u32(id)
	w.f64(backoffMs)
}

// GiveUp fails a request.
func (w *Reply) GiveUp(who uint16, id uint32) {
	w.head(acGiveUp, who)
	w.u32(id)
}

// Abandon cancels an attempt.
func (w *Reply) Abandon(who uint16, id uint32, round uint8) {
	w.head(acAbandon, who)
	w.u32(id)
	w.b = append(w.b, round)
}

// WakeMe sets a timer.
func (w *Reply) WakeMe(who uint16, ms float64, mark uint32) {
	w.head(acWakeMe, who)
	w.f64(ms)
	w.u32(mark)
}

// Sample probes a store.
func (w *Reply) Sample(who uint16, store uint32) {
	w.head(acSample, who)
	w.u32(store)
}

// ShutIdle closes idle connections to a store.
func (w *Reply) ShutIdle(who uint16, store uint32) {
	w.head(acShutIdle, who)
	w.u32(store)
}

// Post sends a message to a peer, or to all with every bit set.
func (w *Reply) Post(who uint16, peer uint32, content []byte) {
	w.head(acPost, who)
	w.u32(peer)
	w.text(content)
}

// Emit adds a line to the report.
func (w *Reply) Emit(who uint16, text string) {
	w.head(acEmit, who)
	w.text([]byte(text))
}

// Panic reports that the decisions broke.
func (w *Reply) Panic(who uint16, text string) {
	w.head(acPanic, who)
	w.text([]byte(text))
}

// Observe turns the subscription to list changes on or off.
func (w *Reply) Observe(who uint16, on bool) {
	w.head(acObserve, who)
	v := uint8(0)
	if on {
		v = 1
	}
	w.b = append(w.b, v)
}

// Resolve asks for the whole list once.
func (w *Reply) Resolve(who uint16) { w.head(acResolve, who) }

func (w *Reply) text(t []byte) {
	t = t[:min(len(t), math.MaxUint16)]
	w.u16(uint16(len(t)))
	w.b = append(w.b, t...)
}
