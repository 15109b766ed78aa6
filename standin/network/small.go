package network

import (
	"context"
	"net"
	"syscall"
)

// smallBufferBytes is the size of a receive buffer that holds hardly more than one segment.
const smallBufferBytes = 4 << 10

// ListenSmall listens on a free port of 127.0.0.1. The receive buffers of its connections are
// small, so that what the process does not read stays with the sender.
func ListenSmall(ctx context.Context) (net.Listener, error) {
	small := net.ListenConfig{Control: shrinkReceiveBuffer}
	return small.Listen(ctx, "tcp", "127.0.0.1:0")
}

// DialSmall opens a TCP connection to addr with a small receive buffer.
func DialSmall(ctx context.Context, addr string) (net.Conn, error) {
	small := net.Dialer{Control: shrinkReceiveBuffer}
	return small.DialContext(ctx, "tcp", addr)
}

func shrinkReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
	})
	if err != nil {
		return err
	}
	return optionErr
}
