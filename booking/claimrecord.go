package booking

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	// MaxCallerTextLength is the longest text in a caller-chosen key.
	MaxCallerTextLength = 128

	maxTimeDigits     = 11
	maxClaimsPerBatch = 64
	maxRecordBytes    = 128 << 10
)

// ParseCallerKey checks a key of the form <unix seconds>-<text> and returns its
// creation time as stated by the caller.
func ParseCallerKey(text string) (created time.Time, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse caller-chosen key: %w", err)
		}
	}()
	digits, rest, found := strings.Cut(text, "-")
	if !found || len(digits) > maxTimeDigits {
		return time.Time{}, fmt.Errorf("%q does not have the form <unix seconds>-<text>", truncate(text))
	}
	unix, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || strconv.FormatUint(unix, 10) != digits {
		return time.Time{}, fmt.Errorf("%q does not begin with a time in unix seconds", truncate(text))
	}
	if rest == "" || len(rest) > MaxCallerTextLength {
		return time.Time{}, fmt.Errorf("text after the time has %d characters, expected 1 to %d", len(rest), MaxCallerTextLength)
	}
	for _, c := range []byte(rest) {
		if c <= ' ' || c > '~' {
			return time.Time{}, fmt.Errorf("%q has a character that is not printable ASCII", truncate(text))
		}
	}
	return time.Unix(int64(unix), 0), nil
}

// ClaimError is returned when a caller-chosen key was not mapped to an issued
// key.
type ClaimError struct {
	// Reason is reported to the caller.
	Reason call.Reason
	// Outcome is notRun only if no earlier request with this key can have run.
	Outcome call.Outcome
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *ClaimError) Error() string { return fmt.Sprintf("claim (%s): %v", e.Reason, e.Cause) }

// Unwrap returns [ClaimError.Cause].
func (e *ClaimError) Unwrap() error { return e.Cause }

// claim maps a caller-chosen key to an issued key, unless the log holds an earlier
// claim of the same key. Each claim proposes its own issued key, so the issued key
// also identifies the claim.
type claim struct {
	callerKey   string
	created     time.Time
	fingerprint Fingerprint
	issued      Key
}

// batch is one record of a claims stream.
type batch struct {
	claims []claim
}

type batchJSON struct {
	Claims []claimJSON `json:"claims"`
}

type claimJSON struct {
	CallerKey   string `json:"callerKey"`
	Fingerprint string `json:"fingerprint"`
	IssuedKey   string `json:"issuedKey"`
}

func (b batch) encode() (data []byte, err error) {
	wire := batchJSON{Claims: make([]claimJSON, 0, len(b.claims))}
	for _, c := range b.claims {
		wire.Claims = append(wire.Claims, claimJSON{c.callerKey, hex.EncodeToString(c.fingerprint[:]), c.issued.String()})
	}
	data, err = json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode claims record: %w", err)
	}
	return data, nil
}

// decodeBatch decodes a record. A record with any invalid claim is rejected as a
// whole, so that all nodes read the same claims from a stream.
func decodeBatch(data []byte) (b batch, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode claims record: %w", err)
		}
	}()
	if len(data) > maxRecordBytes {
		return batch{}, fmt.Errorf("record has %d bytes, expected at most %d", len(data), maxRecordBytes)
	}
	var wire batchJSON
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&wire); err != nil {
		return batch{}, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return batch{}, errors.New("unexpected data after the JSON object")
	}
	if len(wire.Claims) == 0 || len(wire.Claims) > maxClaimsPerBatch {
		return batch{}, fmt.Errorf("record has %d claims, expected 1 to %d", len(wire.Claims), maxClaimsPerBatch)
	}
	for _, w := range wire.Claims {
		c, err := w.decode()
		if err != nil {
			return batch{}, err
		}
		b.claims = append(b.claims, c)
	}
	return b, nil
}

func (w claimJSON) decode() (c claim, err error) {
	c.callerKey = w.CallerKey
	if c.created, err = ParseCallerKey(w.CallerKey); err != nil {
		return claim{}, err
	}
	fingerprint, err := hex.DecodeString(w.Fingerprint)
	if err != nil || len(fingerprint) != len(c.fingerprint) {
		return claim{}, fmt.Errorf("fingerprint %q is not %d hexadecimal digits", truncate(w.Fingerprint), 2*len(c.fingerprint))
	}
	copy(c.fingerprint[:], fingerprint)
	if c.issued, err = ParseKey(w.IssuedKey); err != nil {
		return claim{}, err
	}
	return c, nil
}

// truncate shortens received text for use in an error message.
func truncate(text string) string {
	const longest = 80
	if len(text) > longest {
		return text[:longest] + "..."
	}
	return text
}
