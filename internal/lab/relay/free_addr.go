package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// Ports below those that the system gives out by itself, to listeners at port 0 and to connections: Linux begins at 32768.
const (
	firstFreePort = 20000
	freePorts     = 12000
)

// FreeAddr returns a loopback address whose port is free for TCP and UDP, for a listener that is opened later. Nobody else is given
// the port meanwhile: the system gives out others, and further calls choose at random.
func FreeAddr() (string, error) {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePorts))
		err := bindBoth(addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		return addr, err
	}
}

// bindBoth listens at an address by TCP and UDP, and closes both.
func bindBoth(addr string) error {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	return udp.Close()
}
