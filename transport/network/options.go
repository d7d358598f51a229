package network

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A peer that does not answer is given up after userTimeout, whether bytes wait
// for its acknowledgement or the connection is idle.
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

// setUserTimeout bounds the time for which sent bytes may stay without
// acknowledgement.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
