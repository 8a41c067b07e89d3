package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// FinalAnswer is a request's final answer.
type FinalAnswer struct {
	Served             bool
	Rejected           bool          // if neither Served nor Rejected is set, the request failed
	Answer             any           // content of a served answer; nil for guards if the answer was streamed to the client
	Server             string        // name of the server that sent the answer; set only for guards, and not for a streamed answer
	ArrivedAt, EndedAt time.Duration // Unix times of the request's last byte and of the final answer; set only for guards
}

// answerClient is the action that delivers a request's final answer to the client, unless the request has been abandoned meanwhile.
type answerClient struct {
	request    *OpenRequest
	answer     FinalAnswer
	retryAfter time.Duration // retry delay sent with a rejection; 0: none
}

func (a answerClient) execute(*Dispatcher) {
	reply := a.request.request.Reply
	stream, isStream := a.answer.Answer.(Stream)
	switch {
	case a.request.abandoned && isStream:
		stream.Discard()
	case a.request.abandoned:
	case a.answer.Served:
		reply.Serve(a.answer.Answer)
	case a.answer.Rejected:
		reply.Reject(a.retryAfter)
	default:
		reply.Fail()
	}
}

// answerUnadmitted ends a request that is not passed to the policy, and queues its final answer.
func (o *OpenRequest) answerUnadmitted(answer FinalAnswer, retryAfter time.Duration) {
	o.ended = true
	o.counters.count(answer)
	o.dispatcher.actions.add(answerClient{o, answer, retryAfter})
}

// markEnded marks an admitted request as ended.
func (o *OpenRequest) markEnded() {
	o.ended = true
	o.dispatcher.requests.pending--
}

// conclude ends an admitted request and queues its final answer.
func (o *OpenRequest) conclude(answer FinalAnswer, retryAfter time.Duration) {
	o.markEnded()
	o.counters.count(answer)
	o.dispatcher.actions.add(answerClient{o, answer, retryAfter})
	o.notifyGuards(answer)
}

// concludeByPolicy ends a request with the final answer that the policy decided on, unless the request has already ended. The
// policy needs no notification of this end.
func (d *Dispatcher) concludeByPolicy(id uint32, answer FinalAnswer, retryAfter time.Duration) {
	o := d.requests.open[id]
	if o == nil || o.ended {
		return
	}
	o.markEnded()
	o.counters.count(answer)
	answerClient{o, answer, retryAfter}.execute(d)
	o.notifyGuards(answer)
	o.removeIfSettled()
}

// rejectUnsent ends a request whose attempt may not be sent. It rejects the request, or fails it if an earlier attempt may
// have been executed and the class is not idempotent. The outcome of the attempt reports the end to the policy.
func (o *OpenRequest) rejectUnsent() {
	if o.ended {
		return
	}
	class := &o.dispatcher.settings.Classes[o.request.Class]
	if o.mayHaveExecuted && class.Idempotency != policy.Idempotent {
		o.conclude(FinalAnswer{}, 0)
	} else {
		o.conclude(FinalAnswer{Rejected: true}, o.dispatcher.retryAfter())
	}
}

// handleAnswer makes a server's answer the final answer if the request has not ended. If a guard does not accept the answer,
// the request fails.
func (o *OpenRequest) handleAnswer(result AttemptResult, server uint32) {
	stream, isStream := result.Answer.(Stream)
	if !isStream && result.Result != policy.OK {
		return
	}
	if o.ended {
		if isStream {
			stream.Discard()
		}
		return
	}
	if !o.answerAccepted() {
		if isStream {
			stream.Discard()
		}
		o.conclude(FinalAnswer{}, 0)
		return
	}
	if isStream {
		o.serveStream(stream)
	} else {
		o.serve(result.Answer, server)
	}
}

func (o *OpenRequest) serve(answer any, server uint32) {
	finalAnswer := FinalAnswer{Served: true, Answer: answer}
	if o.dispatcher.HasGuards() {
		finalAnswer.Server = o.dispatcher.servers.name(server)
	}
	o.conclude(finalAnswer, 0)
}

// serveStream forwards an answer to the client while it arrives. The request stays pending until the end of the stream, which
// is aborted at the request's deadline.
func (o *OpenRequest) serveStream(stream Stream) {
	o.ended = true
	timeout := o.dispatcher.loop.At(o.deadline, stream.Abort)
	stream.OnEnd(func(end StreamEnd) {
		timeout.Stop()
		o.streamEnded(end)
	})
	o.dispatcher.actions.add(answerClient{request: o, answer: FinalAnswer{Served: true, Answer: stream}})
}

// streamEnded counts a request whose answer was streamed to the client. It counts as failed if the stream broke, and not at all
// if the client disconnected.
func (o *OpenRequest) streamEnded(end StreamEnd) {
	o.dispatcher.requests.pending--
	if end == StreamClientDisconnected {
		return
	}
	if end == StreamComplete && o.dispatcher.ClassInfo(o.request.Class).Access == policy.Write {
		o.dispatcher.router.ObserveStreamedWrite(o.dispatcher.loop.Now(), o.request.Sessions)
	}
	answer := FinalAnswer{Served: end == StreamComplete}
	o.counters.count(answer)
	o.notifyGuards(answer)
}
