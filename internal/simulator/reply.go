package simulator

import (
	"encoding/binary"
	"math"
)

// The codes of actions.
const (
	codeAttempt uint8 = iota + 1
	codeReject
	codeFail
	codeCancelAttempt
	codeSetTimer
	codeProbe
	codeCloseIdleConnections
	codeSendMessage
	codeLog
	codeReportPanic
	codeWatchList
	codeFetchList
)

// Reply builds the frame that answers a batch, an action at a time. Its zero value is ready for Reset.
type Reply struct {
	frame []byte
}

// Reset starts the reply to a batch.
func (r *Reply) Reset(number uint32) {
	r.frame = binary.LittleEndian.AppendUint32(r.frame[:0], number)
	r.frame = append(r.frame, 0, 0, 0, 0) // the length, set by Bytes
}

// Bytes closes the frame and returns it; it is good until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.frame[4:], uint32(len(r.frame)))
	return r.frame
}

// begin starts the record of an action.
func (r *Reply) begin(code uint8, instance uint16) {
	r.uint8(code)
	r.uint16(instance)
}

func (r *Reply) uint8(v uint8)   { r.frame = append(r.frame, v) }
func (r *Reply) uint16(v uint16) { r.frame = binary.LittleEndian.AppendUint16(r.frame, v) }
func (r *Reply) uint32(v uint32) { r.frame = binary.LittleEndian.AppendUint32(r.frame, v) }
func (r *Reply) float64(v float64) {
	r.frame = binary.LittleEndian.AppendUint64(r.frame, math.Float64bits(v))
}

// text writes as much of a text as fits, behind its length.
func (r *Reply) text(text []byte) {
	text = text[:min(len(text), math.MaxUint16)]
	r.uint16(uint16(len(text)))
	r.frame = append(r.frame, text...)
}

// Attempt sends a request to a server; timeoutMs 0 is the client's own.
func (r *Reply) Attempt(instance uint16, request, server uint32, timeoutMs float64) {
	r.begin(codeAttempt, instance)
	r.uint32(request)
	r.uint32(server)
	r.float64(timeoutMs)
}

// Reject ends a request unserved: its client may safely come again. Its wire name is turn_away.
func (r *Reply) Reject(instance uint16, request uint32, retryAfterMs float64) {
	r.begin(codeReject, instance)
	r.uint32(request)
	r.float64(retryAfterMs)
}

// Fail ends a request with an error. Its wire name is give_up.
func (r *Reply) Fail(instance uint16, request uint32) {
	r.begin(codeFail, instance)
	r.uint32(request)
}

// CancelAttempt calls an attempt off. Its wire name is abandon.
func (r *Reply) CancelAttempt(instance uint16, request uint32, attempt uint8) {
	r.begin(codeCancelAttempt, instance)
	r.uint32(request)
	r.uint8(attempt)
}

// SetTimer asks for a Timer, which brings the mark back. Its wire name is wake_me.
func (r *Reply) SetTimer(instance uint16, afterMs float64, mark uint32) {
	r.begin(codeSetTimer, instance)
	r.float64(afterMs)
	r.uint32(mark)
}

// Probe checks a server. Its wire name is sample.
func (r *Reply) Probe(instance uint16, server uint32) {
	r.begin(codeProbe, instance)
	r.uint32(server)
}

// CloseIdleConnections closes the idle connections to a server. Its wire name is shut_idle.
func (r *Reply) CloseIdleConnections(instance uint16, server uint32) {
	r.begin(codeCloseIdleConnections, instance)
	r.uint32(server)
}

// SendMessage sends a message to a peer, or to all with every bit set. Its wire name is post.
func (r *Reply) SendMessage(instance uint16, peer uint32, content []byte) {
	r.begin(codeSendMessage, instance)
	r.uint32(peer)
	r.text(content)
}

// Log adds a line to the report. Its wire name is emit.
func (r *Reply) Log(instance uint16, text string) {
	r.begin(codeLog, instance)
	r.text([]byte(text))
}

// ReportPanic says that the decisions broke. Its wire name is panic.
func (r *Reply) ReportPanic(instance uint16, text string) {
	r.begin(codeReportPanic, instance)
	r.text([]byte(text))
}

// WatchList opens or closes the subscription to changes of the list. Its wire name is observe.
func (r *Reply) WatchList(instance uint16, open bool) {
	r.begin(codeWatchList, instance)
	if open {
		r.uint8(1)
	} else {
		r.uint8(0)
	}
}

// FetchList asks for the whole list once. Its wire name is resolve.
func (r *Reply) FetchList(instance uint16) { r.begin(codeFetchList, instance) }
