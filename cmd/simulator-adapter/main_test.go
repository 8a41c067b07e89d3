package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"threadsail/internal/simulator"
)

const settings = `{"balancers":2,"caps":{"probing":true,"maxAttempts":4},"contract":{},"aNewKey":[1],
"familyInfo":{"behind":"none","classRead":["mutate"],"lagAllowedMs":[0]},
"lanes":[{"aimMs":400,"hardLimitMs":2000,"semantics":"single_shot","group":"all","worth":1}],
"report":{"fields":["x0","x1"],"how":"answers"},"discovery":"push","tickMs":5}`

type recordBuilder struct{ b []byte }

func (w *recordBuilder) u8(v uint8) *recordBuilder { w.b = append(w.b, v); return w }
func (w *recordBuilder) u16(v uint16) *recordBuilder {
	w.b = binary.LittleEndian.AppendUint16(w.b, v)
	return w
}
func (w *recordBuilder) u32(v uint32) *recordBuilder {
	w.b = binary.LittleEndian.AppendUint32(w.b, v)
	return w
}
func (w *recordBuilder) u64(v uint64) *recordBuilder {
	w.b = binary.LittleEndian.AppendUint64(w.b, v)
	return w
}
func (w *recordBuilder) f32(v float32) *recordBuilder { return w.u32(math.Float32bits(v)) }
func (w *recordBuilder) f64(v float64) *recordBuilder { return w.u64(math.Float64bits(v)) }

func batchFrame(number, count uint32, clock float64, body *recordBuilder) []byte {
	h := (&recordBuilder{}).u32(number).u32(count).u32(uint32(simulator.BatchHeader + len(body.b))).f64(clock)
	return append(h.b, body.b...)
}

func appendStart(w *recordBuilder, text string) *recordBuilder {
	w.u8(simulator.CodeStart).u16(4).u64(1).u32(uint32(len(text)))
	w.b = append(w.b, text...)
	return w
}

func appendList(w *recordBuilder) *recordBuilder {
	w.u8(simulator.CodeServerList).u16(0).u32(1).u32(77).u16(0).u16(0).u16(2).u8(1).f32(0).f32(1).f64(0)
	return w.u8(simulator.CodeListUpdate).u16(4).u8(2).u32(1).u16(0)
}

func appendRequest(w *recordBuilder) *recordBuilder {
	w.u8(simulator.CodeRequest).u16(4).u32(9).u16(0).u32(0).u64(0).f64(2000).f64(0).f32(2).f32(0)
	return w.u8(4)
}

func TestServeFindsPrimaryForWrite(t *testing.T) {
	in := batchFrame(1, 4, 5000, appendRequest(appendList(appendStart(&recordBuilder{}, settings))))
	probeResult := (&recordBuilder{}).u8(simulator.CodeProbeResult).u16(4).u32(77).u16(100).f64(1).u8(2).f32(5).f32(1)
	in = append(in, batchFrame(2, 1, 5005, probeResult)...)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	first := out.Bytes()
	size := binary.LittleEndian.Uint32(first[4:])
	second := first[size:]
	if binary.LittleEndian.Uint32(first) != 1 || binary.LittleEndian.Uint32(second) != 2 {
		t.Fatalf("replies %x", first)
	}
	probe := (&recordBuilder{}).u8(6).u16(4).u32(77)
	if !bytes.Contains(first[:size], probe.b) {
		t.Errorf("no probe of the group's member in %x", first[:size])
	}
	attempt := (&recordBuilder{}).u8(1).u16(4).u32(9).u32(77)
	if !bytes.Contains(second, attempt.b) {
		t.Errorf("the write was not sent to the primary that was found: %x", second)
	}
}

func TestServeRestartsInstanceWithinBatch(t *testing.T) {
	w := appendList(appendStart(&recordBuilder{}, settings))
	w.u8(simulator.CodeStop).u16(4)
	appendList(appendStart(w, settings))
	var out bytes.Buffer
	if err := serve(bytes.NewReader(batchFrame(1, 7, 5000, w)), &out); err != nil || out.Len() == 0 {
		t.Fatalf("%d bytes, %v", out.Len(), err)
	}
}

func TestServeReportsBadInput(t *testing.T) {
	good := batchFrame(1, 3, 5000, appendList(appendStart(&recordBuilder{}, settings)))
	noList := (&recordBuilder{}).u8(simulator.CodeListUpdate).u16(4).u8(1).u32(1).u16(3)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"ends inside a frame": {good[:len(good)-1], "input ends"},
		"not json":            {batchFrame(1, 1, 0, appendStart(&recordBuilder{}, "{")), "unreadable settings"},
		"unknown semantics": {batchFrame(1, 1, 0, appendStart(&recordBuilder{}, strings.Replace(settings, "single_shot", "twice", 1))),
			`unknown word "twice"`},
		"negative grace": {batchFrame(1, 1, 0, appendStart(&recordBuilder{}, strings.Replace(settings, `"contract":{}`,
			`"contract":{"drainGraceMs":-1}`, 1))), "DrainGrace"},
		"list never given": {append(append([]byte(nil), good...), batchFrame(2, 1, 1, noList)...), "never given"},
	} {
		var out bytes.Buffer
		err := serve(bytes.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, c.want)
		}
	}
	if err := serve(bytes.NewReader(nil), &bytes.Buffer{}); err != nil {
		t.Errorf("empty input: %v", err)
	}
}

func TestPanicIsReported(t *testing.T) {
	a := newAdapter()
	a.instances[4] = &instance{number: 4, reply: &a.reply} // no router: any event panics
	out, err := a.handleBatch(&simulator.Batch{Events: []simulator.Event{{Instance: 4, Message: simulator.Disconnect{}}}})
	if err != nil || out[simulator.ReplyHeader] != 10 {
		t.Fatalf("reply %x, %v; want the wire's panic", out, err)
	}
}
