package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Fingerprint identifies requests that have the same effect on a backend server. A request
// that is sent again, by the same or another caller process, has the same fingerprint.
type Fingerprint [16]byte

// Request is what a fingerprint is made of. Request IDs and time limits differ each time a
// request is sent, so they are no part of it. The service is none either: a request that
// moves to another service with its route is the same.
type Request struct {
	// Host is the host in lower case and without port, as routes are matched by it.
	Method, Host, Target string
	// Caller is the service that makes the request.
	Caller string
	// Body is the body, or its first part if it is too long to be held in memory.
	Body []byte
	// Truncated is true if Body is only the first part.
	Truncated bool
}

// Fingerprint returns the fingerprint of the request. Requests with long bodies that agree
// in the part that is held have the same one.
func (r Request) Fingerprint() (f Fingerprint) {
	// Writing to a hash never fails.
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{r.Method, r.Host, r.Target, r.Caller} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	if r.Truncated {
		_, _ = h.Write([]byte{1})
	}
	_, _ = h.Write(r.Body)
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in base64.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() (text []byte, err error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) (err error) {
	defer func() { err = eris.Wrap(err, "decode a fingerprint") }()
	data, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(data) != len(f) {
		return eris.Errorf("got %d bytes, expected %d", len(data), len(f))
	}
	copy(f[:], data)
	return nil
}
