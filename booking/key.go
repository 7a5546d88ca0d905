// Package booking ensures that a booking, a call that must not be repeated, runs
// at most once. Each booking has an idempotency key. An issued key names the only
// sidecar incarnation that may run the booking, and that sidecar records the state
// of each key in a [Ledger]. A key chosen by a caller is mapped to an issued key
// by the first claim in the log, see [Claims].
//
// # Usage
//
// A sidecar queries its ledger before it forwards a booking to its backend
// server, and then records the result:
//
//	result := ledger.Begin(now, key, booking.FingerprintOf(method, uri, authorization, body))
//	switch result.Verdict {
//	case booking.Run:
//		// Admit and run the booking, then call ledger.Finish or, if no byte was
//		// sent to the backend server, ledger.Refuse.
//	case booking.Wait:
//		// Wait for result.Done, then call Begin again.
//	case booking.Follow:
//		// Answer with result.Successor, under which the ingress retries.
//	default:
//		// Answer with result.Answer, or result.Outcome and result.Reason.
//	}
//
// A refused key is sealed: it never runs, even if a delayed copy of the request
// arrives later. A second attempt is made only under the successor key that the
// ledger recorded with the refusal.
package booking

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

const (
	keyVersion   = "k1"
	keySeparator = ":"
	keyFields    = 6
	nonceBytes   = 16

	// MaxNameLength is the longest service name or node ID that a key can hold.
	MaxNameLength = 64
	// MaxKeyLength is the longest text that [ParseKey] accepts: the version,
	// two names, incarnation, epoch, nonce and five separators.
	MaxKeyLength = 2 + 2*MaxNameLength + 16 + 10 + 2*nonceBytes + 5
)

// Key is an issued key. It is comparable. The zero value is not a valid key.
type Key struct {
	service     string
	node        string
	incarnation uint64
	epoch       uint32
	nonce       [nonceBytes]byte
}

// Issue returns a new key that only the given incarnation of the node may run.
// The epoch is the age of the incarnation in seconds, as known to the issuer. It
// must not exceed the true age.
func Issue(service, node string, incarnation uint64, epoch uint32) Key {
	k := Key{service: service, node: node, incarnation: incarnation, epoch: epoch}
	// crypto/rand.Read never fails: it aborts the program instead.
	_, _ = rand.Read(k.nonce[:])
	return k
}

// Service returns the service that the key is for.
func (k Key) Service() string { return k.service }

// Node returns the ID of the node whose sidecar may run the key.
func (k Key) Node() string { return k.node }

// Incarnation returns the only incarnation of the node that may run the key.
func (k Key) Incarnation() uint64 { return k.incarnation }

// Epoch returns the age of the incarnation, in seconds, when the key was issued.
func (k Key) Epoch() uint32 { return k.epoch }

// IsZero reports whether the key is the zero value.
func (k Key) IsZero() bool { return k == Key{} }

// String returns the printable form that [ParseKey] reads, such as
// k1:orders:orders-3:00c0ffee00c0ffee:42:000102030405060708090a0b0c0d0e0f.
func (k Key) String() string {
	return strings.Join([]string{
		keyVersion,
		k.service,
		k.node,
		fmt.Sprintf("%016x", k.incarnation),
		strconv.FormatUint(uint64(k.epoch), 10),
		hex.EncodeToString(k.nonce[:]),
	}, keySeparator)
}

// ParseKey is the inverse of [Key.String]. It accepts only the canonical text of
// each key, so that different texts never denote the same key.
func ParseKey(text string) (k Key, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse booking key: %w", err)
		}
	}()
	if len(text) > MaxKeyLength {
		return Key{}, fmt.Errorf("key has %d bytes, expected at most %d", len(text), MaxKeyLength)
	}
	fields := strings.Split(text, keySeparator)
	if len(fields) != keyFields || fields[0] != keyVersion {
		return Key{}, fmt.Errorf("%q does not have the form %s:service:node:incarnation:epoch:nonce", text, keyVersion)
	}
	if err := checkName("service", fields[1]); err != nil {
		return Key{}, err
	}
	if err := checkName("node", fields[2]); err != nil {
		return Key{}, err
	}
	k.service, k.node = fields[1], fields[2]
	if k.incarnation, err = parseIncarnation(fields[3]); err != nil {
		return Key{}, err
	}
	if k.epoch, err = parseEpoch(fields[4]); err != nil {
		return Key{}, err
	}
	if err := parseNonce(k.nonce[:], fields[5]); err != nil {
		return Key{}, err
	}
	return k, nil
}

// IsIssued reports whether the text has the prefix of an issued key, as opposed to
// one chosen by a caller. The key may still be malformed.
func IsIssued(text string) bool { return strings.HasPrefix(text, keyVersion+keySeparator) }

// Fingerprint identifies the content of a request. A key is bound to the
// fingerprint of the first request that used it.
type Fingerprint [sha256.Size]byte

// FingerprintOf hashes everything that identifies two requests as the same
// booking by the same customer. Each part is preceded by its length, so that
// moving bytes between adjacent parts changes the fingerprint.
func FingerprintOf(method, uri, authorization string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(uri), []byte(authorization), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

func checkName(kind, name string) error {
	if name == "" || len(name) > MaxNameLength {
		return fmt.Errorf("%s %q does not have 1 to %d characters", kind, name, MaxNameLength)
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) {
			return fmt.Errorf("%s %q has a character other than letters, digits, '.', '_' and '-'", kind, name)
		}
	}
	return nil
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

func parseIncarnation(text string) (incarnation uint64, err error) {
	incarnation, err = strconv.ParseUint(text, 16, 64)
	if err != nil || fmt.Sprintf("%016x", incarnation) != text {
		return 0, fmt.Errorf("incarnation %q is not 16 lower-case hexadecimal digits", text)
	}
	return incarnation, nil
}

func parseEpoch(text string) (epoch uint32, err error) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || strconv.FormatUint(n, 10) != text {
		return 0, fmt.Errorf("epoch %q is not a whole number of seconds below 2^32", text)
	}
	return uint32(n), nil
}

func parseNonce(nonce []byte, text string) error {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(nonce) || hex.EncodeToString(decoded) != text {
		return fmt.Errorf("nonce %q is not %d lower-case hexadecimal digits", text, 2*len(nonce))
	}
	copy(nonce, decoded)
	return nil
}
