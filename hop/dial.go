package hop

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection. The longest way between
	// regions takes 40 ms; a lost opening packet is sent again after a second.
	dialTimeout = 1500 * time.Millisecond
	// requestDialTimeout bounds it for requests, which can go elsewhere: a VM that
	// has lost power takes no connection, and each request that waits for one is
	// lost. A lost opening packet costs another offer.
	requestDialTimeout = 300 * time.Millisecond
	// A VM that is cut off neither answers nor resets. Two lost probes, or data
	// that stays unacknowledged, end its connections within about 3 s, the time
	// after which the deployment counts a VM as reachable again.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	unackedLimit  = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections end when the other side falls
// silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: limitUnacked,
	}
}

func limitUnacked(_, _ string, raw syscall.RawConn) (err error) {
	var option error
	err = raw.Control(func(fd uintptr) {
		option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return option
}
