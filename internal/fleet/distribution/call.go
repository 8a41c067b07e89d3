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

// refused is a call that was not taken.
type refused struct{ refusal }

func (r refused) Error() string { return r.Why }

// call opens a stream to a distributor. An error is of the network, refused, or of what it answered. Its answer has to come within the
// caller's patience: there are others to turn to.
func call(ctx context.Context, dial Dialer, p Place, patience, beat time.Duration, count Counter, h hello) (net.Conn, *bufio.Reader, error) {
	within, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c, err := dial(within, p.Addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(within, func() { _ = c.Close() })
	conn := living{c, tenths(beat, lostBeats), writeBeats * beat}
	in := bufio.NewReaderSize(conn, 4<<10)
	fail := func(err error) (net.Conn, *bufio.Reader, error) {
		stop()
		_ = c.Close()
		return nil, nil, err
	}
	frame := sealJSON(kindHello, h)
	if _, err := conn.Write(frame); err != nil {
		return fail(err)
	}
	count.Out(kindHello.String(), len(frame))
	k, body, size, err := readFrame(in, mostUp)
	if err != nil {
		return fail(err)
	}
	count.In(k.String(), size)
	switch k {
	case kindWelcome:
	case kindRefusal:
		var r refusal
		if err := json.Unmarshal(body, &r); err != nil {
			return fail(fmt.Errorf("%w: %w", errFrame, err))
		}
		return fail(refused{r})
	default:
		return fail(fmt.Errorf("%w: %s", errFrame, k))
	}
	if !stop() { // its time is over, and the connection closed
		return fail(within.Err())
	}
	return conn, in, nil
}

// kindOf is the kind of a sealed frame.
func kindOf(frame []byte) kind {
	if _, used := binary.Uvarint(frame); used > 0 && used < len(frame) {
		return kind(frame[used])
	}
	return 0
}
