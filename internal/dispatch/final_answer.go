package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// FinalAnswer is a request's final answer.
type FinalAnswer struct {
	Served             bool
	Rejected           bool // neither: failed
	Answer             any  // of a served one; guards see nil where it was passed on as it came
	Server             string
	ArrivedAt, EndedAt time.Duration // Unix times, of the request's last byte and of the answer; only guards see them
}

// answerClient passes a final answer on.
type answerClient struct {
	reply      Replier
	answer     FinalAnswer
	retryAfter time.Duration // with a rejection; 0: none
}

func (a answerClient) carryOut(*Dispatcher) {
	switch {
	case a.answer.Served:
		a.reply.Serve(a.answer.Answer)
	case a.answer.Rejected:
		a.reply.Reject(a.retryAfter)
	default:
		a.reply.Fail()
	}
}

// answerUnadmitted ends a request that the policy never hears of.
func (o *OpenRequest) answerUnadmitted(answer FinalAnswer, retryAfter time.Duration) {
	o.ended = true
	o.counters.count(answer)
	o.dispatcher.actions.add(answerClient{o.request.Reply, answer, retryAfter})
}

// finish marks an admitted request as ended.
func (o *OpenRequest) finish() {
	o.ended = true
	o.dispatcher.requests.pending--
}

// conclude ends a request and queues its final answer.
func (o *OpenRequest) conclude(answer FinalAnswer, retryAfter time.Duration) {
	o.finish()
	o.counters.count(answer)
	o.dispatcher.actions.add(answerClient{o.request.Reply, answer, retryAfter})
	o.notifyGuards(answer)
}

// concludeByPolicy ends a request with the policy's own final answer, unless it has ended meanwhile. The policy knows of
// the end.
func (d *Dispatcher) concludeByPolicy(id uint32, answer FinalAnswer, retryAfter time.Duration) {
	o := d.requests.open[id]
	if o == nil || o.ended {
		return
	}
	o.finish()
	o.counters.count(answer)
	answerClient{o.request.Reply, answer, retryAfter}.carryOut(d)
	o.notifyGuards(answer)
	o.removeIfSettled()
}

// rejectByGuard ends a request that a guard lets go nowhere. The policy hears of that by the end of the attempt.
func (o *OpenRequest) rejectByGuard() {
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

// takeAnswer makes a server's answer the final one, if it is the first and the guards accept it.
func (o *OpenRequest) takeAnswer(result AttemptResult, server uint32) {
	stream, streams := result.Answer.(Stream)
	if !streams && result.Result != policy.OK {
		return
	}
	if o.ended {
		if streams {
			stream.Discard()
		}
		return
	}
	if !o.answerAccepted() {
		if streams {
			stream.Discard()
		}
		o.conclude(FinalAnswer{}, 0)
		return
	}
	if streams {
		o.serveStream(stream)
	} else {
		o.serve(result.Answer, server)
	}
}

func (o *OpenRequest) serve(answer any, server uint32) {
	final := FinalAnswer{Served: true, Answer: answer}
	if o.dispatcher.HasGuards() {
		final.Server = o.dispatcher.servers.name(server)
	}
	o.conclude(final, 0)
}

// serveStream passes an answer on while it comes. The request stays pending until the end of the stream, which is aborted
// at the request's deadline.
func (o *OpenRequest) serveStream(stream Stream) {
	o.ended = true
	timeout := o.dispatcher.loop.At(o.deadline, stream.Abort)
	stream.OnEnd(func(end StreamEnd) {
		timeout.Stop()
		o.streamEnded(end)
	})
	o.dispatcher.actions.add(answerClient{reply: o.request.Reply, answer: FinalAnswer{Served: true, Answer: stream}})
}

// streamEnded counts a request whose answer was passed on as it came.
func (o *OpenRequest) streamEnded(end StreamEnd) {
	o.dispatcher.requests.pending--
	if end == StreamClientDisconnected {
		return
	}
	answer := FinalAnswer{Served: end == StreamComplete}
	o.counters.count(answer)
	o.notifyGuards(answer)
}
