package distribution

import (
	"bufio"
	"net"
	"time"
)

// bufferSize is the size of the buffers of a stream's reader and writer, in bytes.
const bufferSize = 4 << 10

// minWriteRate is the minimum rate, in bytes per second, at which a peer must accept data that exceeds its buffers: a snapshot of 5 MB
// within nine seconds.
const minWriteRate = 1 << 20

// timeoutConn is a connection whose reads and writes fail if the peer sends or accepts no data within the limits of timing.
type timeoutConn struct {
	net.Conn
	timing timing
}

func (c timeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timing.readTimeout())); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c timeoutConn) Write(b []byte) (int, error) {
	timeout := c.timing.writeTimeout() + time.Duration(len(b))*(time.Second/minWriteRate)
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// frameWriter writes encoded frames to a connection through a buffer and counts them. It is not safe for concurrent use.
type frameWriter struct {
	*bufio.Writer
	counter Counter
}

func newFrameWriter(conn net.Conn, counter Counter) frameWriter {
	return frameWriter{bufio.NewWriterSize(conn, bufferSize), counter}
}

// writeFrames writes frames in order. It returns net.ErrClosed when it reaches the empty frame that outbox.endOfStream queues.
func (w frameWriter) writeFrames(frames ...[]byte) error {
	for _, frame := range frames {
		if len(frame) == 0 {
			return net.ErrClosed
		}
		w.counter.Out(kindOfFrame(frame).String(), len(frame))
		if _, err := w.Write(frame); err != nil {
			return err
		}
	}
	return nil
}

// flushFrames writes frames in order and flushes the buffer.
func (w frameWriter) flushFrames(frames ...[]byte) error {
	if err := w.writeFrames(frames...); err != nil {
		return err
	}
	return w.Flush()
}
