package distribution

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// refusedError is a call that was not taken.
type refusedError struct{ refusal }

func (r refusedError) Error() string { return r.Reason }

// openStream opens a stream to a distributor. An error is of the network, refused, or of what it answered. Its answer has to come within the
// caller's patience: there are others to turn to.
func openStream(ctx context.Context, dial Dialer, p Endpoint, patience, beat time.Duration, count Counter, h hello) (net.Conn, *bufio.Reader, error) {
	within, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c, err := dial(within, p.Addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(within, func() { _ = c.Close() })
	conn := timeoutConn{c, tenthsOfHeartbeat(beat, readTimeoutTenths), writeTimeoutHeartbeats * beat}
	in := bufio.NewReaderSize(conn, 4<<10)
	fail := func(err error) (net.Conn, *bufio.Reader, error) {
		stop()
		_ = c.Close()
		return nil, nil, err
	}
	frame := encodeJSONFrame(kindHello, h)
	if _, err := conn.Write(frame); err != nil {
		return fail(err)
	}
	count.Out(kindHello.String(), len(frame))
	k, body, size, err := readFrame(in, maxPoolerFrame)
	if err != nil {
		return fail(err)
	}
	count.In(k.String(), size)
	switch k {
	case kindWelcome:
	case kindRefusal:
		var r refusal
		if err := json.Unmarshal(body, &r); err != nil {
			return fail(fmt.Errorf("%w: %w", errMalformedFrame, err))
		}
		return fail(refusedError{r})
	default:
		return fail(fmt.Errorf("%w: %s", errMalformedFrame, k))
	}
	if !stop() { // its time is over, and the connection closed
		return fail(within.Err())
	}
	return conn, in, nil
}

// frameKind is the kind of a sealed frame.
func frameKind(frame []byte) frameKindID {
	if _, used := binary.Uvarint(frame); used > 0 && used < len(frame) {
		return frameKindID(frame[used])
	}
	return 0
}
