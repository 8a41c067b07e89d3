package distribution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// run keeps a stream to a distributor, and reconnects when it is lost, until ctx ends.
func (s *Subscriber) run(ctx context.Context) {
	var stream *clientStream
	timeout := s.timing.answerTimeout()
	for ctx.Err() == nil {
		if stream == nil {
			stream = s.connect(ctx, timeout)
		}
		if stream == nil { // no distributor admits the pooler, which goes on without one
			sleep(ctx, s.jittered(s.timing.heartbeat))
			timeout = s.timing.nextAnswerTimeout(timeout)
			continue
		}
		timeout = s.timing.answerTimeout()
		stream = s.runUntilLost(ctx, stream)
	}
	if stream != nil {
		_ = stream.conn.Close()
	}
}

// runUntilLost uses a stream until it ends. It returns the stream to the preferred distributor that replaces it, or nil if the stream was
// lost. In that case it first sleeps for a fraction of a heartbeat, so that the poolers of a lost distributor reconnect spread over time.
func (s *Subscriber) runUntilLost(ctx context.Context, stream *clientStream) (replacement *clientStream) {
	replacement, err := s.runStream(ctx, stream)
	if replacement != nil || ctx.Err() != nil {
		return replacement
	}
	s.markLost(stream.Name)
	s.logStreamEnd(stream.Name, err)
	sleep(ctx, time.Duration(s.options.JitterFraction*float64(s.timing.heartbeat)))
	return nil
}

// connect tries the distributors in order and returns the stream to the first that admits the pooler, or nil if none does. If a
// distributor was full, it tries all of them a second time with hello.Insists set.
func (s *Subscriber) connect(ctx context.Context, timeout time.Duration) *clientStream {
	for _, insist := range []bool{false, true} {
		stream, full := s.connectInOrder(ctx, timeout, insist)
		if stream != nil || !full {
			return stream
		}
	}
	return nil
}

// connectInOrder tries each distributor once and returns the stream to the first that admits the pooler, or nil if none does. full reports
// whether a distributor refused the pooler as full.
func (s *Subscriber) connectInOrder(ctx context.Context, timeout time.Duration, insist bool) (stream *clientStream, full bool) {
	for _, endpoint := range s.preferredOrder() {
		stream, err := s.connectWithRetry(ctx, endpoint, timeout, insist)
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

// connectWithRetry connects to a distributor, and retries after the given delay as long as the distributor refuses with one.
func (s *Subscriber) connectWithRetry(ctx context.Context, endpoint Endpoint, timeout time.Duration, insist bool) (*clientStream, error) {
	for {
		stream, err := s.connectOnce(ctx, endpoint, timeout, insist)
		var refused refusedError
		if !errors.As(err, &refused) || refused.RetryAfterMillis == 0 || ctx.Err() != nil {
			return stream, err
		}
		sleep(ctx, time.Duration(refused.RetryAfterMillis)*time.Millisecond)
	}
}

// connectOnce connects to a distributor once. It returns a refusedError if the distributor refuses.
func (s *Subscriber) connectOnce(ctx context.Context, endpoint Endpoint, timeout time.Duration, insist bool) (*clientStream, error) {
	report := s.report()
	return s.dialer.open(ctx, endpoint, timeout, hello{Protocol: protocolVersion, Name: s.options.Name, Region: s.options.Region,
		Versions: report.Versions, Insists: insist, Status: report.Status})
}

// report returns the pooler's current report.
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

// preferredOrder returns the distributors in the order in which they are to be tried: by preference, with recently lost ones last.
func (s *Subscriber) preferredOrder() []Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return deprioritize(s.ranked, func(endpoint Endpoint) bool {
		lostAt, lost := s.lostAt[endpoint.Name]
		return lost && time.Since(lostAt) < s.timing.avoidDuration()
	})
}

// markLost records a failure of a distributor, which is avoided for timing.avoidDuration.
func (s *Subscriber) markLost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt[name] = time.Now()
}

// jittered returns a duration from 0.5 to 1.5 times d, by the pooler's jitter.
func (s *Subscriber) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.options.JitterFraction*float64(d))
}

// returnToPreferred retries the preferred distributor periodically while the current stream to another one lasts. Once it is admitted, it
// sends the new stream to replacement and closes the current one. An attempt uses ctx and may outlast the current stream: the current
// distributor may learn that the pooler has moved, and close the stream, before the pooler receives the welcome.
func (s *Subscriber) returnToPreferred(ctx, streamCtx context.Context, current *clientStream, replacement chan<- *clientStream) {
	preferred := s.ranked[0]
	for preferred.Name != current.Name {
		sleep(streamCtx, s.jittered(s.timing.preferredRetryInterval()))
		if streamCtx.Err() != nil {
			return
		}
		stream, err := s.connectOnce(ctx, preferred, s.timing.answerTimeout(), false)
		if err == nil {
			replacement <- stream
			_ = current.conn.Close()
			return
		}
		s.logRefusal(preferred, err)
	}
}

// logStreamEnd logs why a stream has ended. A lost connection is logged each time, a protocol violation once per distributor and kind.
func (s *Subscriber) logStreamEnd(distributor string, err error) {
	line := fmt.Sprintf("distribution: the stream to %s has ended: %v", distributor, err)
	var networkErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &networkErr) {
		s.options.Log(line)
		return
	}
	s.logger.logOnce(fmt.Sprintf("ended %s: %v", distributor, sentinelOf(err)), line)
}

// logRefusal logs why a distributor did not admit the pooler, unless it is full, busy or unreachable.
func (s *Subscriber) logRefusal(endpoint Endpoint, err error) {
	var refused refusedError
	switch {
	case errors.As(err, &refused):
		if refused.permanent() {
			line := fmt.Sprintf("distribution: %s refused this pooler: %s", endpoint.Name, refused.Reason)
			s.logger.logOnce(line, line)
		}
	case isProtocolError(err):
		s.logger.logOnce("answer "+endpoint.Name, fmt.Sprintf("distribution: invalid answer from %s to a hello: %v", endpoint.Name, err))
	}
}
