package transport

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial connects to addr on a new goroutine and calls done on the loop with the connection or an error, which is ErrNoDescriptor
// if the budget or the host is short of what a connection needs. done must set the connection's handler or close the connection.
// After cancel has been called, done is not called, and a connection that is still established is closed. The goroutine ends after
// timeout at the latest.
func Dial(loop Loop, budget *Budget, addr string, timeout time.Duration, done func(*Conn, error)) (cancel func()) {
	d := &dial{loop: loop, budget: budget, done: done}
	if !budget.take() {
		loop.Post(func() { d.fail(ErrNoDescriptor) })
		return d.cancel
	}
	go func() {
		fd, err := connect(addr, timeout)
		loop.Post(func() { d.connected(fd, err) })
	}()
	return d.cancel
}

// connect opens a connection and returns its descriptor. It blocks for timeout at most.
func connect(addr string, timeout time.Duration) (fd int, err error) {
	dialer := net.Dialer{Timeout: timeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { limitReceiveBuffer(int(fd)) })
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		if localShortage(err) {
			err = fmt.Errorf("%w: %w", ErrNoDescriptor, err)
		}
		return -1, err
	}
	defer conn.Close() // the poller watches a duplicate of the descriptor
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1, err
	}
	controlErr := raw.Control(func(original uintptr) {
		fd, err = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0)
	})
	if err = errors.Join(controlErr, err); err != nil {
		return -1, fmt.Errorf("%w: %w", ErrNoDescriptor, err)
	}
	return fd, nil
}

// localShortage reports whether a dial has failed for want of something on this host, whatever the server's state.
func localShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// dial is a dial in progress. Its methods run on the loop.
type dial struct {
	loop      Loop
	budget    *Budget
	done      func(*Conn, error)
	cancelled bool
}

func (d *dial) cancel() { d.cancelled = true }

func (d *dial) fail(err error) {
	if !d.cancelled {
		d.done(nil, err)
	}
}

// connected handles the result of the dial.
func (d *dial) connected(fd int, err error) {
	if err != nil {
		d.budget.release()
		d.fail(err)
		return
	}
	c, err := newConn(d.loop, d.budget, fd, nil)
	if err != nil {
		d.fail(fmt.Errorf("%w: %w", ErrNoDescriptor, err))
		return
	}
	if d.cancelled {
		c.Close()
		return
	}
	d.done(c, nil)
}
