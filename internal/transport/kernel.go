package transport

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// noInput reports whether the kernel holds neither bytes of the peer nor its close.
func noInput(fd int) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// hasUnsent reports whether the kernel holds bytes that the peer has not acknowledged.
func hasUnsent(fd int) bool {
	n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	return err == nil && n > 0
}

// resetOnClose has the close of a descriptor reset the connection.
func resetOnClose(fd int) {
	_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
}

// resetUnlessUnsent has the close of a descriptor reset the connection, so that a peer that waits for room learns of the end.
// It leaves a connection alone whose reset would discard bytes that the peer has yet to read.
func resetUnlessUnsent(fd int) {
	if !hasUnsent(fd) {
		resetOnClose(fd)
	}
}

// peerHungUp reports whether the kernel has the peer's close or reset, even behind unread bytes. A failure of the call counts
// as no: the close is then met when it is read.
func peerHungUp(fd int) bool { return pollReady(fd, unix.POLLRDHUP) }

// pollReady reports whether one of the events has come to a descriptor.
func pollReady(fd int, events int16) bool {
	descriptors := [...]unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(descriptors[:], 0)
	return err == nil && n > 0
}

// limitReceiveBuffer bounds what the kernel keeps of a peer that is not read.
func limitReceiveBuffer(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBufferSize)
}

// limitSendBuffer bounds what the kernel keeps for a peer that does not read.
func limitSendBuffer(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBufferSize)
}
