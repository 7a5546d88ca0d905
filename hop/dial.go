package hop

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout bounds connection establishment. The longest round trip
	// between regions takes 40 ms, and a lost SYN is retransmitted after one second.
	defaultDialTimeout = 1500 * time.Millisecond
	// requestDialTimeout bounds connection establishment for requests, which can be
	// sent to another VM instead. A VM that has lost power accepts no connections,
	// and a request that waits for a connection until its own deadline is lost. The
	// timeout is shorter than the time until a lost SYN is retransmitted, so a lost
	// SYN costs one additional attempt.
	requestDialTimeout = 300 * time.Millisecond
	// A VM that is cut off from the network neither answers nor resets its
	// connections. Two unanswered keep-alive probes, or data that stays
	// unacknowledged for tcpUserTimeout, end a connection within about 3 s, the
	// time after which the deployment counts a VM as reachable again.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	tcpUserTimeout    = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections fail when the remote host stops
// responding.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: defaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) (err error) {
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
