package network

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection to a peer that does not respond fails after userTimeout, whether
// sent bytes are unacknowledged or the connection is idle and probed.
const (
	userTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, the maximum time that sent bytes may
// stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
