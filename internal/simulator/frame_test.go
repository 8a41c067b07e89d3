package simulator

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
)

// frame builds a batch of records given in hex, with blanks between fields.
func frame(t testing.TB, count uint32, records ...string) []byte {
	t.Helper()
	body, err := hex.DecodeString(strings.ReplaceAll(strings.Join(records, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	b := binary.LittleEndian.AppendUint32(nil, 5)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, uint32(BatchHeader+len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(1234.5))
	return append(b, body...)
}

const (
	requestRecord       = "02 0100 0a000000 0200 00000000 0700000000000000 0000000000408f40 0000000000000000 00004040 00004842 04"
	outcomeRecord       = "01 0100 0a000000 91000000 01 0000000000003440 6500 63000000 00 02 0000c03f 0000803f"
	probeResultRecord   = "0b 0100 63000000 3001 000000000000f03f 00"
	serverListRecord    = "09 0300 01000000 63000000 0100 0000 0300 02 0000803f 0000803f 0000000000409f40"
	listUpdateRecord    = "04 0100 01 09000000 0300"
	startRecord         = "05 0100 2a00000000000000 02000000 7b7d"
	timerRecord         = "0a 0100 08000000"
	disconnectRecord    = "08 0100 0a000000"
	stopRecord          = "03 0100"
	peerMessageRecord   = "06 0100 0200 0300 414243"
	streamStartedRecord = "07 0100 0a000000 000000000000f03f 63000000 00"
)

func TestDecodeGolden(t *testing.T) {
	b, err := Decode(frame(t, 11, startRecord, serverListRecord, listUpdateRecord, requestRecord, outcomeRecord, probeResultRecord, timerRecord, disconnectRecord,
		peerMessageRecord, streamStartedRecord, stopRecord))
	if err != nil {
		t.Fatal(err)
	}
	want := []Event{
		{Instance: 1, Message: Start{Seed: 42, Settings: []byte("{}")}},
		{Message: ServerList{Slot: 3, Entries: []ServerEntry{
			{Server: 99, Zone: 1, Group: 3, Availability: Draining, Head: 1, Power: 1, StartedMs: 2000}}}},
		{Instance: 1, Message: ListUpdate{Kind: ListFull, Version: 9, Slot: 3}},
		{Instance: 1, Message: Request{ID: 10, Class: 2, Session: 7, TimeoutMs: 1000, Group: 3, SinceLastWriteMs: 50, State: 4}},
		{Instance: 1, Message: Outcome{RequestID: 10, RolePosition: 145, Attempt: 1, ElapsedMs: 20,
			Result: ResultMisdirected, Server: 99, Report: []float32{1.5, 1}}},
		{Instance: 1, Message: ProbeResult{Server: 99, Result: ResultConnectFailed, ElapsedMs: 1}},
		{Instance: 1, Message: Timer{Mark: 8}},
		{Instance: 1, Message: Disconnect{RequestID: 10}},
		{Instance: 1, Message: PeerMessage{Sender: 2, Content: []byte("ABC")}},
		{Instance: 1, Message: StreamStarted{RequestID: 10, ElapsedMs: 1, Server: 99}},
		{Instance: 1, Message: Stop{}},
	}
	if b.Number != 5 || b.ClockMs != 1234.5 || !reflect.DeepEqual(b.Events, want) {
		t.Fatalf("got %+v\nwant %+v", b.Events, want)
	}
}

func TestEncodeGolden(t *testing.T) {
	var w Reply
	w.Reset(5)
	w.Attempt(1, 10, 99, 80)
	w.Reject(1, 10, 0)
	w.Fail(1, 10)
	w.CancelAttempt(1, 10, 2)
	w.SetTimer(1, 1, 8)
	w.Probe(1, 99)
	w.CloseIdleConnections(1, 99)
	w.SendMessage(1, 2, []byte("A"))
	w.Log(1, "B")
	w.ReportPanic(1, "C")
	w.WatchList(1, true)
	w.FetchList(1)
	want := strings.ReplaceAll("05000000 84000000"+
		"01 0100 0a000000 63000000 0000000000005440"+
		"02 0100 0a000000 0000000000000000"+
		"03 0100 0a000000"+
		"04 0100 0a000000 02"+
		"05 0100 000000000000f03f 08000000"+
		"06 0100 63000000"+
		"07 0100 63000000"+
		"08 0100 02000000 0100 41"+
		"09 0100 0100 42"+
		"0a 0100 0100 43"+
		"0b 0100 01"+
		"0c 0100", " ", "")
	got := hex.EncodeToString(w.Bytes())
	size := binary.LittleEndian.Uint32(w.Bytes()[4:])
	if int(size) != len(w.Bytes()) {
		t.Fatalf("length says %d, frame has %d", size, len(w.Bytes()))
	}
	if got[16:] != want[16:] || got[:8] != want[:8] {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
}

func TestDecodeMalformed(t *testing.T) {
	good := frame(t, 1, requestRecord)
	edit := func(f func(b []byte) []byte) []byte { return f(append([]byte(nil), good...)) }
	for name, c := range map[string]struct {
		frame []byte
		want  string
	}{
		"short header":          {good[:12], "batch header"},
		"length off":            {edit(func(b []byte) []byte { b[8]++; return b }), "header says"},
		"impossible count":      {edit(func(b []byte) []byte { b[7] = 0xff; return b }), "do not fit"},
		"bytes left over":       {edit(func(b []byte) []byte { b[4] = 0; return b }), "after the last record"},
		"truncated record":      {frame(t, 1, requestRecord[:60]), "bytes wanted"},
		"unknown code":          {frame(t, 1, "63 0100"), "unknown code"},
		"unknown outcome":       {frame(t, 1, "0b 0100 63000000 0900 000000000000f03f 00"), "unknown outcome"},
		"report too long":       {frame(t, 1, "0b 0100 63000000 6400 000000000000f03f ff"), "does not fit"},
		"list too long":         {frame(t, 1, "09 0300 ffffffff"), "does not fit"},
		"list out of range":     {frame(t, 1, "09 1000 00000000"), "out of range"},
		"unknown list kind":     {frame(t, 1, "04 0100 04 09000000 0300"), "unknown kind"},
		"settings too long":     {frame(t, 1, "05 0100 2a00000000000000 ffffff7f"), "bytes wanted"},
		"time-out not a number": {frame(t, 1, strings.Replace(requestRecord, "0000000000408f40", "000000000000f87f", 1)), "not a finite"},
		"fractional group":      {frame(t, 1, strings.Replace(requestRecord, "00004040", "00002040", 1)), "impossible group"},
	} {
		if _, err := Decode(c.frame); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
}

func TestReadFrame(t *testing.T) {
	good := frame(t, 1, requestRecord)
	if _, err := ReadFrame(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: %v, want io.EOF", err)
	}
	if got, err := ReadFrame(bytes.NewReader(good), nil); err != nil || !bytes.Equal(got, good) {
		t.Errorf("whole frame: %x, %v", got, err)
	}
	for _, n := range []int{1, BatchHeader - 1, BatchHeader, len(good) - 1} {
		if _, err := ReadFrame(bytes.NewReader(good[:n]), nil); errors.Is(err, io.EOF) || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("input of %d bytes: %v, want a truncated frame", n, err)
		}
	}
	for _, size := range []uint32{0, BatchHeader - 1, math.MaxUint32} {
		b := append([]byte(nil), good...)
		binary.LittleEndian.PutUint32(b[8:], size)
		if _, err := ReadFrame(bytes.NewReader(b), nil); err == nil || !strings.Contains(err.Error(), "impossible") {
			t.Errorf("length %d: %v", size, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(f, 1, requestRecord))
	f.Add(frame(f, 3, serverListRecord, listUpdateRecord, outcomeRecord))
	f.Add(frame(f, 2, startRecord, peerMessageRecord))
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := Decode(b)
		if (batch == nil) == (err == nil) {
			t.Fatalf("batch %v with error %v", batch, err)
		}
		if batch != nil && len(batch.Events) > len(b)/3 {
			t.Fatalf("%d events out of %d bytes", len(batch.Events), len(b))
		}
	})
}
