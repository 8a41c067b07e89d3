package distribution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// run uses one stream after another, until ctx ends.
func (s *Subscriber) run(ctx context.Context) {
	var stream *clientStream
	timeout := s.timing.answerTimeout()
	for ctx.Err() == nil {
		if stream == nil {
			stream = s.connect(ctx, timeout)
		}
		if stream == nil { // no distributor takes the pooler, which works on alone
			sleep(ctx, s.jittered(s.timing.heartbeat))
			timeout = s.timing.nextAnswerTimeout(timeout)
			continue
		}
		timeout = s.timing.answerTimeout()
		stream = s.useUntilLost(ctx, stream)
	}
	if stream != nil {
		_ = stream.conn.Close()
	}
}

// useUntilLost uses a stream until it ends, and returns the one that replaces it; nil: it was lost. All poolers of a lost distributor call
// others now, within a heartbeat by their jitter.
func (s *Subscriber) useUntilLost(ctx context.Context, stream *clientStream) (replacement *clientStream) {
	replacement, err := s.useStream(ctx, stream)
	if replacement != nil || ctx.Err() != nil {
		return replacement
	}
	s.markLost(stream.Name)
	s.logStreamEnd(stream.Name, err)
	sleep(ctx, time.Duration(s.options.JitterFraction*float64(s.timing.heartbeat)))
	return nil
}

// connect calls the distributors in their order until one admits the pooler; nil: none does. Where distributors are full, all are called
// once more with that said, and only the limit of descriptors may refuse the pooler then.
func (s *Subscriber) connect(ctx context.Context, timeout time.Duration) *clientStream {
	for _, insist := range []bool{false, true} {
		stream, full := s.callInOrder(ctx, timeout, insist)
		if stream != nil || !full {
			return stream
		}
	}
	return nil
}

// callInOrder calls the distributors until one admits the pooler; nil: none does. full: one has refused it as full.
func (s *Subscriber) callInOrder(ctx context.Context, timeout time.Duration, insist bool) (stream *clientStream, full bool) {
	for _, endpoint := range s.preferredOrder() {
		stream, err := s.callUntilDecided(ctx, endpoint, timeout, insist)
		if ctx.Err() != nil {
			if stream != nil {
				_ = stream.conn.Close()
			}
			return nil, false
		}
		if err == nil {
			return stream, false
		}
		var refused refusedError
		switch {
		case !errors.As(err, &refused):
			s.logRefusal(endpoint, err)
			s.markLost(endpoint.Name)
		case refused.Full:
			full = true
		default:
			s.logRefusal(endpoint, err)
		}
	}
	return nil, full
}

// callUntilDecided calls a distributor, and again each time that it names a time to call again.
func (s *Subscriber) callUntilDecided(ctx context.Context, endpoint Endpoint, timeout time.Duration, insist bool) (*clientStream, error) {
	for {
		stream, err := s.call(ctx, endpoint, timeout, insist)
		var refused refusedError
		if !errors.As(err, &refused) || refused.RetryAfterMillis == 0 || ctx.Err() != nil {
			return stream, err
		}
		sleep(ctx, time.Duration(refused.RetryAfterMillis)*time.Millisecond)
	}
}

// call calls a distributor once.
func (s *Subscriber) call(ctx context.Context, endpoint Endpoint, timeout time.Duration, insist bool) (*clientStream, error) {
	report := s.report()
	return s.dialer.open(ctx, endpoint, timeout, hello{Protocol: protocolVersion, Name: s.options.Name, Region: s.options.Region,
		Versions: report.Versions, Insists: insist, Status: report.Status})
}

// report returns the pooler's report as of now.
func (s *Subscriber) report() heartbeat {
	report := heartbeat{Versions: map[string]uint64{}}
	for _, resource := range s.options.Resources {
		report.Versions[resource.Name] = resource.Replica.Version()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Status = s.status
	return report
}

// preferredOrder returns the distributors in the order in which they are called now: those that were lost lately come last.
func (s *Subscriber) preferredOrder() []Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return deprioritize(s.ranked, func(endpoint Endpoint) bool {
		lostAt, lost := s.lostAt[endpoint.Name]
		return lost && time.Since(lostAt) < s.timing.avoidFor()
	})
}

// markLost makes a distributor avoided for a while.
func (s *Subscriber) markLost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt[name] = time.Now()
}

// jittered returns from half of a time up to one and a half of it, by the pooler's jitter.
func (s *Subscriber) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.options.JitterFraction*float64(d))
}

// returnToPreferred calls the preferred distributor from time to time while the current stream to another lasts, sends the new stream to
// replacement once it is admitted, and ends the current one. The call may outlast the current stream: its distributor may hear that the
// pooler has moved, and end it, before the pooler hears that it is admitted.
func (s *Subscriber) returnToPreferred(ctx, streamCtx context.Context, current *clientStream, replacement chan<- *clientStream) {
	preferred := s.ranked[0]
	for preferred.Name != current.Name {
		sleep(streamCtx, s.jittered(s.timing.preferredRetry()))
		if streamCtx.Err() != nil {
			return
		}
		stream, err := s.call(ctx, preferred, s.timing.answerTimeout(), false)
		if err == nil {
			replacement <- stream
			_ = current.conn.Close()
			return
		}
		s.logRefusal(preferred, err)
	}
}

// logStreamEnd logs why a stream has ended: each time where the connection was lost, and once for each breach of the protocol.
func (s *Subscriber) logStreamEnd(distributor string, err error) {
	line := fmt.Sprintf("distribution: the stream to %s has ended: %v", distributor, err)
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network) {
		s.options.Log(line)
		return
	}
	s.logger.logOnce(fmt.Sprintf("ended %s: %v", distributor, sentinelOf(err)), line)
}

// logRefusal logs why a distributor does not admit the pooler, unless it is full, busy or can't be reached.
func (s *Subscriber) logRefusal(endpoint Endpoint, err error) {
	var refused refusedError
	switch {
	case errors.As(err, &refused):
		if refused.permanent() {
			line := fmt.Sprintf("distribution: %s refuses this pooler: %s", endpoint.Name, refused.Reason)
			s.logger.logOnce(line, line)
		}
	case isProtocolError(err):
		s.logger.logOnce("answer "+endpoint.Name, fmt.Sprintf("distribution: invalid answer of %s to a call: %v", endpoint.Name, err))
	}
}
