package simulator

import (
	"fmt"
	"math"
)

const (
	leastRecord   = 3    // bytes of the shortest record
	eventsAtFirst = 4096 // events that room is made for before any has been read
)

// Decode reads the records of a frame. Byte slices in the events point into it.
func Decode(frame []byte) (*Batch, error) {
	c := &cursor{frame: frame}
	batch := &Batch{Number: c.uint32()}
	count, size := c.uint32(), c.uint32()
	batch.ClockMs = c.float64()
	if c.err != nil {
		return nil, fmt.Errorf("batch header: %w", c.err)
	}
	if int64(size) != int64(len(frame)) {
		return nil, fmt.Errorf("batch %d: header says %d bytes, frame has %d", batch.Number, size, len(frame))
	}
	if int64(count) > int64(len(frame)-BatchHeader)/leastRecord {
		return nil, fmt.Errorf("batch %d: %d records do not fit in %d bytes", batch.Number, count, size)
	}
	batch.Events = make([]Event, 0, min(int(count), eventsAtFirst))
	for i := range int(count) {
		start := c.at
		code, event := c.event()
		if c.err != nil {
			return nil, fmt.Errorf("batch %d, record %d at byte %d, code %d: %w", batch.Number, i, start, code, c.err)
		}
		batch.Events = append(batch.Events, event)
	}
	if c.left() != 0 {
		return nil, fmt.Errorf("batch %d: %d bytes after the last record", batch.Number, c.left())
	}
	return batch, nil
}

// event reads one record.
func (c *cursor) event() (code uint8, event Event) {
	code = c.uint8()
	if code == CodeServerList {
		return code, Event{Message: c.serverList()}
	}
	event.Instance = c.uint16()
	event.Message = c.message(code)
	return code, event
}

// message reads what follows the instance of a record.
func (c *cursor) message(code uint8) Message {
	switch code {
	case CodeOutcome:
		return c.outcome()
	case CodeRequest:
		return c.request()
	case CodeStop:
		return Stop{}
	case CodeListUpdate:
		return c.listUpdate()
	case CodeStart:
		return Start{Seed: c.uint64(), Settings: c.bytes(int(c.uint32()))}
	case CodePeerMessage:
		return PeerMessage{Sender: c.uint16(), Content: c.bytes(int(c.uint16()))}
	case CodeStreamStarted:
		return StreamStarted{RequestID: c.uint32(), ElapsedMs: c.float64(), Server: c.uint32(), Attempt: c.uint8()}
	case CodeDisconnect:
		return Disconnect{RequestID: c.uint32()}
	case CodeTimer:
		return Timer{Mark: c.uint32()}
	case CodeProbeResult:
		return c.probeResult()
	}
	c.fail("unknown code")
	return nil
}

func (c *cursor) serverList() ServerList {
	list := ServerList{Slot: c.uint16()}
	c.checkSlot(list.Slot)
	list.Entries = c.entries()
	return list
}

func (c *cursor) checkSlot(slot uint16) {
	if slot >= ListSlots {
		c.fail("list number %d out of range", slot)
	}
}

func (c *cursor) listUpdate() ListUpdate {
	update := ListUpdate{Kind: ListKind(c.uint8()), Version: c.uint32(), Slot: c.uint16()}
	if update.Kind > ListFailed {
		c.fail("unknown kind of list %d", update.Kind)
	}
	if update.Kind != ListFailed {
		c.checkSlot(update.Slot)
	}
	return update
}

func (c *cursor) request() Request {
	request := Request{ID: c.uint32(), Class: c.uint16()}
	c.uint32() // the tenant: no deployment has any
	request.Session = c.uint64()
	request.TimeoutMs = c.float64()
	request.CostHintMs = c.float64()
	request.Group = c.float32()
	request.SinceLastWriteMs = c.float32()
	request.State = c.uint8()
	if group := request.Group; group < 0 || group > math.MaxUint16 || group != float32(int(group)) {
		c.fail("impossible group %v", group)
	}
	return request
}

func (c *cursor) outcome() Outcome {
	outcome := Outcome{
		RequestID:     c.uint32(),
		RolePosition:  c.uint32(),
		Attempt:       c.uint8(),
		ElapsedMs:     c.float64(),
		Result:        ResultCode(c.uint16()),
		Server:        c.uint32(),
		RequestClosed: c.uint8() != 0,
		Report:        c.report(),
	}
	c.checkResult(outcome.Result)
	return outcome
}

func (c *cursor) probeResult() ProbeResult {
	result := ProbeResult{Server: c.uint32(), Result: ResultCode(c.uint16()), ElapsedMs: c.float64(), Report: c.report()}
	c.checkResult(result.Result)
	return result
}

func (c *cursor) checkResult(result ResultCode) {
	if !result.valid() {
		c.fail("unknown outcome %d", result)
	}
}
