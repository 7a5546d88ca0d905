package membership

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	exchangePath = "/lacewingslip/v1/membership/exchange"
	probePath    = "/lacewingslip/v1/membership/probe"

	// maxBodyBytes bounds a message. A full table of 1,100 entries has about 0.3 MB.
	maxBodyBytes   = 1 << 20
	maxNameBytes   = 64
	maxClockBytes  = 64
	maxSystemBytes = 64
	maxSlots       = 1 << 20
	maxStartedMS   = 1 << 52
)

// fetchScope selects the entries that a node requests in addition to recent
// changes.
type fetchScope string

const (
	fetchChanges fetchScope = ""
	// fetchSample requests a few other entries only, because a seed may have to
	// answer many starting nodes at once.
	fetchSample fetchScope = "some"
	// fetchAll requests the whole table.
	fetchAll fetchScope = "all"
)

// header holds the fields that requests and answers of an exchange share.
type header struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation,string"`
	// System is the value of [Self.System].
	System string `json:"system,omitempty"`
	// Age is the age of the incarnation in seconds.
	Age uint32 `json:"age"`
	// Clock is the value of the sender's hybrid clock, which this package passes
	// on without using it.
	Clock string `json:"clock,omitempty"`
	// Settings is the offset up to which the sender has read the settings.
	Settings int64    `json:"settings,omitempty"`
	Entries  []update `json:"entries,omitempty"`
}

type exchangeRequest struct {
	header
	// To is the node that the sender expects at the address.
	To    string     `json:"to,omitempty"`
	Fetch fetchScope `json:"ask,omitempty"`
	// Sum is the checksum of the sender's whole table.
	Sum uint64 `json:"sum,string,omitempty"`
	// Digest requests the digest if the checksums differ. The digest has 684
	// bytes, so it is requested only if the sender can use it now.
	Digest  bool         `json:"digest,omitempty"`
	Compare []comparison `json:"compare,omitempty"`
}

type exchangeAnswer struct {
	header
	// TablesEqual is true if both tables were equal before this exchange.
	TablesEqual bool    `json:"same,omitempty"`
	Digest      *digest `json:"digest,omitempty"`
	// Complete is true if the answering node regards its table as complete.
	Complete bool `json:"complete,omitempty"`
	// Want lists the nodes whose entries the answering node lacks.
	Want []string `json:"want,omitempty"`
}

// comparison holds the hashes of the sender's entries in one bucket.
type comparison struct {
	Bucket int               `json:"bucket"`
	Tags   map[string]uint32 `json:"tags"`
}

type probeRequest struct {
	Node string `json:"node"`
}

type probeAnswer struct {
	Reached bool `json:"reached"`
}

// errorAnswer is the error body that all endpoints of a node share.
type errorAnswer struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// errTooLarge is returned for a body of more than maxBodyBytes.
var errTooLarge = errors.New("body is larger than 1 MiB")

// decode reads and validates a message of at most maxBodyBytes. It rejects
// unknown fields.
func decode(body io.Reader, message validator) (err error) {
	defer func() { err = eris.Wrap(err, "decode message") }()
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxBodyBytes {
		return errTooLarge
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("expected one JSON value, found more after it")
	}
	return message.validate()
}

type validator interface{ validate() error }

func (r *exchangeRequest) validate() (err error) {
	for _, c := range r.Compare {
		if c.Bucket < 0 || c.Bucket >= bucketCount {
			return fmt.Errorf("bucket %d is outside 0 to %d", c.Bucket, bucketCount-1)
		}
	}
	switch r.Fetch {
	case fetchChanges, fetchSample, fetchAll:
	default:
		return fmt.Errorf("ask is %q, expected %q or %q", r.Fetch, fetchSample, fetchAll)
	}
	return r.header.validate()
}

func (r *probeRequest) validate() (err error) { return checkName("node", r.Node, true) }

func (a *probeAnswer) validate() (err error) { return nil }

func (h *header) validate() (err error) {
	if err := checkName("from", h.From, true); err != nil {
		return err
	}
	if len(h.System) > maxSystemBytes {
		return fmt.Errorf("system has %d bytes, expected at most %d", len(h.System), maxSystemBytes)
	}
	if len(h.Clock) > maxClockBytes {
		return fmt.Errorf("clock has %d bytes, expected at most %d", len(h.Clock), maxClockBytes)
	}
	if h.Settings < 0 {
		return fmt.Errorf("settings offset %d is negative", h.Settings)
	}
	for _, u := range h.Entries {
		if err := u.validate(); err != nil {
			return fmt.Errorf("entry of node %q: %w", u.Node, err)
		}
	}
	return nil
}

func (u update) validate() (err error) {
	switch {
	case u.StartedMS <= 0 || u.StartedMS > maxStartedMS:
		return fmt.Errorf("started is %d, expected Unix milliseconds", u.StartedMS)
	case u.Version == 0 || u.Version > 1<<62:
		return fmt.Errorf("version is %d, expected 1 or more", u.Version)
	case u.Slots < 0 || u.Slots > maxSlots:
		return fmt.Errorf("slots is %d, expected 0 to %d", u.Slots, maxSlots)
	case u.HealthSeconds < 0 || u.HealthSeconds > 1<<31:
		return fmt.Errorf("healthAge is %d, expected seconds", u.HealthSeconds)
	}
	if u.isHealthOnly() && u.Health == Alive {
		return errors.New("peer is missing, which is allowed only if health is suspect, unreachable or left")
	}
	return errors.Join(
		checkName("node", u.Node, true), checkName("region", u.Region, false),
		checkName("zone", u.Zone, false), checkName("service", u.Service, false),
		checkAddress("peer", u.Peer, false), checkAddress("caller", u.Caller, false),
		checkAddress("operator", u.Operator, false),
	)
}

func checkName(field, name string, required bool) (err error) {
	if name == "" && !required {
		return nil
	}
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
	if name == "" || len(name) > maxNameBytes || strings.Trim(name, allowed) != "" {
		return fmt.Errorf("%s is %.80q, expected 1 to %d letters, digits, dots, hyphens or underscores", field, name, maxNameBytes)
	}
	return nil
}

func checkAddress(field, address string, required bool) (err error) {
	if address == "" && !required {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "" || len(address) > 2*maxNameBytes || strings.ContainsAny(address, "/?#@ \t\r\n") {
		return fmt.Errorf("%s is %.160q, expected host:port", field, address)
	}
	return nil
}

// MarshalText encodes the digest in base64.
func (d *digest) MarshalText() (text []byte, err error) {
	data := make([]byte, 0, 8*bucketCount)
	for _, sum := range d {
		data = binary.BigEndian.AppendUint64(data, sum)
	}
	return base64.RawStdEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText decodes the digest from base64.
func (d *digest) UnmarshalText(text []byte) (err error) {
	data, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(data) != 8*bucketCount {
		return fmt.Errorf("digest has %d bytes, expected %d in base64", len(data), 8*bucketCount)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(data[8*i:])
	}
	return nil
}
