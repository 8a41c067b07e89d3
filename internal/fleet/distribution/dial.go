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

// clientStream is the client side of a stream that a distributor has admitted.
type clientStream struct {
	Endpoint
	conn   net.Conn
	reader *bufio.Reader
}

// open connects to a distributor and performs the handshake. The answer must arrive within timeout, as the caller may try other
// distributors. Errors are refusedError, errors that wrap errMalformedFrame or errFrameTooLong, the error of ctx or of the timeout, and
// network errors.
func (d streamDialer) open(ctx context.Context, endpoint Endpoint, timeout time.Duration, h hello) (*clientStream, error) {
	handshakeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rawConn, err := d.dial(handshakeCtx, endpoint.Addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(handshakeCtx, func() { _ = rawConn.Close() })
	conn := timeoutConn{rawConn, d.timing}
	reader := bufio.NewReaderSize(conn, bufferSize)
	err = d.handshake(conn, reader, h)
	if !stop() && err == nil { // the timeout has expired and the connection is closed
		err = handshakeCtx.Err()
	}
	if err != nil {
		_ = rawConn.Close()
		return nil, err
	}
	return &clientStream{endpoint, conn, reader}, nil
}

// handshake sends the hello and waits for the welcome. It returns a refusedError if the distributor refuses the stream.
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
