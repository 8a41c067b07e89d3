package transport

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// noInput reports whether the receive buffer is empty and the peer has not closed or reset the connection.
func noInput(fd int) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// unreadBytes returns the number of bytes in the receive buffer, up to backlogThreshold.
func unreadBytes(fd int) int {
	buffer := readBuffers.Get().(*[MaxReadSize]byte)
	defer readBuffers.Put(buffer)
	n, _, _ := syscall.Recvfrom(fd, buffer[:backlogThreshold], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return max(n, 0)
}

// disableDelay makes the kernel send small writes at once.
func disableDelay(fd int) { _ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) }

// hasUnsent reports whether the send buffer holds bytes that the peer has not acknowledged.
func hasUnsent(fd int) bool { return unacknowledgedBytes(fd) > 0 }

// unacknowledgedBytes returns the number of bytes in the send buffer that the peer has not acknowledged.
func unacknowledgedBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// resetOnClose makes closing the descriptor reset the connection.
func resetOnClose(fd int) {
	_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
}

// resetUnlessUnsent makes closing the descriptor reset the connection, so that a peer that is blocked on a full window learns of
// the end. It has no effect if the peer has not acknowledged all bytes, as a reset would discard them.
func resetUnlessUnsent(fd int) {
	if !hasUnsent(fd) {
		resetOnClose(fd)
	}
}

// peerHungUp reports whether the kernel has received the peer's close or reset, even if unread bytes precede it. It returns false
// if the system call fails; the close is then detected when it is read.
func peerHungUp(fd int) bool { return pollReady(fd, unix.POLLRDHUP) }

// pollReady reports whether one of the events is pending on the descriptor.
func pollReady(fd int, events int16) bool {
	descriptors := [...]unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(descriptors[:], 0)
	return err == nil && n > 0
}

// limitReceiveBuffer limits the kernel's receive buffer, which fills while the connection is not read.
func limitReceiveBuffer(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBufferSize)
}

// limitSendBuffer limits the kernel's send buffer, which fills while the peer does not read.
func limitSendBuffer(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBufferSize)
}
