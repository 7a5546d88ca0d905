package hop

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
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
	// maxAddressBytes is the length of the longest host name with a port.
	maxAddressBytes = 253 + len(":65535")
)

// CheckAddress returns an error if no connection to the address is possible because it
// does not have the form host:port with a port of 1 to 65535.
func CheckAddress(address string) (err error) {
	host, port, err := net.SplitHostPort(address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 ||
		host == "" || len(address) > maxAddressBytes || strings.ContainsAny(address, "/?#@ \t\r\n") {
		return eris.Errorf("expected an address host:port with a port of 1 to 65535, got %.160q", address)
	}
	return nil
}

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
