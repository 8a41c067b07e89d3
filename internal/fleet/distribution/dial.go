package distribution

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

// streamDialer opens streams to distributors.
type streamDialer struct {
	dial    Dialer
	timing  timing
	counter Counter
}

// clientStream is a stream that a distributor has admitted.
type clientStream struct {
	Endpoint
	conn   net.Conn
	reader *bufio.Reader
}

// open calls a distributor, whose answer must come within a timeout, as there are others to call. Errors are refusedError,
// errMalformedFrame, errFrameTooLong, and the network's.
func (d streamDialer) open(ctx context.Context, endpoint Endpoint, timeout time.Duration, h hello) (*clientStream, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	plain, err := d.dial(callCtx, endpoint.Addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(callCtx, func() { _ = plain.Close() })
	conn := timeoutConn{plain, d.timing}
	reader := bufio.NewReaderSize(conn, bufferSize)
	err = d.handshake(conn, reader, h)
	if !stop() && err == nil { // the time is over, and the connection closed
		err = callCtx.Err()
	}
	if err != nil {
		_ = plain.Close()
		return nil, err
	}
	return &clientStream{endpoint, conn, reader}, nil
}

// handshake sends the hello and waits for the welcome.
func (d streamDialer) handshake(conn net.Conn, reader *bufio.Reader, h hello) error {
	frame := encodeJSONFrame(kindHello, h)
	if _, err := conn.Write(frame); err != nil {
		return err
	}
	d.counter.Out(kindHello.String(), len(frame))
	answer, err := readFrame(reader, maxPoolerFrame)
	if err != nil {
		return err
	}
	d.counter.In(answer.kind.String(), answer.size)
	switch answer.kind {
	case kindWelcome:
		return nil
	case kindRefusal:
		var r refusal
		if err := decodeJSON(answer.body, &r); err != nil {
			return err
		}
		return refusedError{r}
	default:
		return fmt.Errorf("%w: %s", errMalformedFrame, answer.kind)
	}
}
