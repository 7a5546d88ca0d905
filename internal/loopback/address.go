package loopback

import (
	"net"
)

// FreeAddresses returns distinct addresses of the IP on which no process listens at the
// moment. All ports are held open until the function returns, because the system may
// assign a port that has just been closed again.
func FreeAddresses(ip string, count int) (addresses []string, err error) {
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
