package loopback

import (
	"net"
)

// FreeAddresses returns addresses of the IP that nothing listens on at the
// moment, each of them once. They are opened together, because the system gives a
// port that was closed again to the next caller now and then.
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
