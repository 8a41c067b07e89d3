package distribution

import (
	"bufio"
	"net"
	"time"
)

// bufferSize is that of a stream's reader and writer, in bytes.
const bufferSize = 4 << 10

// minWriteRate is how fast a peer must take what is longer than its buffers, in bytes a second: a snapshot of 5 MB within nine seconds.
const minWriteRate = 1 << 20

// timeoutConn is a connection that fails where its peer sends nothing for a while, or takes nothing.
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

// frameWriter writes encoded frames to a connection through a buffer, and counts them. It is not safe for use by several goroutines.
type frameWriter struct {
	*bufio.Writer
	counter Counter
}

func newFrameWriter(conn net.Conn, counter Counter) frameWriter {
	return frameWriter{bufio.NewWriterSize(conn, bufferSize), counter}
}

// writeFrames writes frames in their order. It fails with net.ErrClosed at endOfStream.
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

// flushFrames writes frames in their order, and flushes the buffer.
func (w frameWriter) flushFrames(frames ...[]byte) error {
	if err := w.writeFrames(frames...); err != nil {
		return err
	}
	return w.Flush()
}
