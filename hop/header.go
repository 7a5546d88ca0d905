package hop

import (
	"maps"
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are never relayed (RFC 9110,
// section 7.6.1). Expect is handled by the server that reads the request.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns a copy of the header without its hop-by-hop fields, as it is
// forwarded to the next hop. The copy shares its value slices with the original,
// so they must not be modified.
func EndToEnd(header http.Header) http.Header {
	relayed := maps.Clone(header)
	DropHopByHop(relayed)
	return relayed
}

// DropHopByHop removes the hop-by-hop fields from a header whose names are canonical.
func DropHopByHop(header http.Header) {
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}
