package hop

import (
	"maps"
	"net/http"
	"strings"
)

// connectionHeaders belong to one connection and are never relayed (RFC 9110,
// section 7.6.1). Expect is answered by the server that reads the request.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns the headers of a request or answer that go on to the next
// hop. Their values are shared with the given ones and must not be changed.
func EndToEnd(header http.Header) http.Header {
	relayed := maps.Clone(header)
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			relayed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		relayed.Del(name)
	}
	return relayed
}
