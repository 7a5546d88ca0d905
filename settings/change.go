package settings

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
)

// maxChangeBytes bounds an encoded change. JSON escapes at most double the size
// of a branch's YAML text; the rest is for the other fields.
const maxChangeBytes = 2*maxBranchBytes + 4<<10

// Change replaces the content of one branch. It is immutable.
type Change struct {
	id        string
	branch    string
	base      int64
	team      string
	content   string
	signature []byte
}

// NewChange returns an unsigned change that replaces the content of the branch at
// the base revision. The team is the one that owns the branch.
func NewChange(branch string, base int64, content []byte) (c Change, err error) {
	// JSON encoding replaces invalid UTF-8, which would invalidate the signature.
	if !utf8.Valid(content) {
		return Change{}, fmt.Errorf("content of branch %q is not valid UTF-8", branch)
	}
	return Change{id: string(call.NewID()), branch: branch, base: base, team: branch, content: string(content)}, nil
}

// ID returns the random ID by which the change is found in the log.
func (c Change) ID() string { return c.id }

// Branch returns the name of the branch that the change replaces.
func (c Change) Branch() string { return c.branch }

// Base returns the revision of the branch on which the change is based.
func (c Change) Base() int64 { return c.base }

// Revision returns the revision of the branch after the change is accepted.
func (c Change) Revision() int64 { return c.base + 1 }

// Team returns the team whose key signs the change.
func (c Change) Team() string { return c.team }

// Content returns the YAML text of the branch.
func (c Change) Content() string { return c.content }

// File returns the content as a file for [Parse].
func (c Change) File() File { return File{Name: c.branch + fileExtension, Text: []byte(c.content)} }

// Sign returns the change, signed with its team's private key.
func (c Change) Sign(key ed25519.PrivateKey) Change {
	c.signature = ed25519.Sign(key, c.payload())
	return c
}

// Verify reports whether the change has a valid signature for the public key.
func (c Change) Verify(key ed25519.PublicKey) bool {
	return verifySignature(key, c.payload(), c.signature)
}

// verifySignature returns false for a missing key, for which ed25519.Verify would
// panic.
func verifySignature(key ed25519.PublicKey, payload, signature []byte) bool {
	return len(key) == ed25519.PublicKeySize && ed25519.Verify(key, payload, signature)
}

// payload returns the bytes that are signed. Each field is preceded by its length,
// so that no two changes have the same payload.
func (c Change) payload() []byte {
	var buffer bytes.Buffer
	for _, part := range []string{"lacewingslip settings change 1", c.id, c.branch, strconv.FormatInt(c.base, 10), c.team, c.content} {
		fmt.Fprintf(&buffer, "%d:%s,", len(part), part)
	}
	return buffer.Bytes()
}

// Encode returns the change as a log record.
func (c Change) Encode() (data []byte, err error) {
	wire := c.wire()
	data, err = marshal(recordWire{Change: &wire})
	if err != nil {
		return nil, err
	}
	if len(data) > maxChangeBytes {
		return nil, fmt.Errorf("change of branch %q has %d bytes; expected at most %d", c.branch, len(data), maxChangeBytes)
	}
	return data, nil
}

// DecodeChange is the inverse of [Change.Encode]. It does not check the
// signature.
func DecodeChange(data []byte) (c Change, err error) {
	record, err := decodeRecord(data)
	if err != nil {
		return Change{}, err
	}
	if record.change == nil {
		return Change{}, errors.New("record is not a change")
	}
	return *record.change, nil
}

// recordWire is the JSON form of a record of the stream: a change, a snapshot or a
// skip.
type recordWire struct {
	Change   *changeWire   `json:"change,omitempty"`
	Snapshot *snapshotWire `json:"snapshot,omitempty"`
	Skip     *skipWire     `json:"skip,omitempty"`
}

type changeWire struct {
	ID        string `json:"id"`
	Branch    string `json:"branch"`
	Base      int64  `json:"base"`
	Team      string `json:"team"`
	Content   string `json:"content"`
	Signature []byte `json:"signature"`
}

type snapshotWire struct {
	// Next is the offset of the first record that the snapshot does not cover.
	Next int64 `json:"next"`
	// WrittenAtMs is the writer's wall clock time in milliseconds.
	WrittenAtMs int64 `json:"writtenAtMs"`
	// Branches holds the last accepted change per branch, sorted by branch.
	Branches []changeWire `json:"branches"`
	// Roots holds earlier root changes that list a key by which one of the
	// branches is signed, sorted by revision.
	Roots []changeWire `json:"roots,omitempty"`
}

type record struct {
	change   *Change
	snapshot *snapshotWire
	skip     *skipWire
}

func decodeRecord(data []byte) (r record, err error) {
	defer func() { err = eris.Wrap(err, "decode settings record") }()
	var wire recordWire
	if err := unmarshal(data, &wire); err != nil {
		return record{}, err
	}
	switch {
	case wire.Change != nil && wire.Snapshot == nil && wire.Skip == nil && len(data) <= maxChangeBytes:
		change, err := wire.Change.change()
		return record{change: &change}, err
	case wire.Snapshot != nil && wire.Change == nil && wire.Skip == nil:
		return record{snapshot: wire.Snapshot}, nil
	case wire.Skip != nil && wire.Change == nil && wire.Snapshot == nil:
		return record{skip: wire.Skip}, nil
	default:
		return record{}, fmt.Errorf("expected a change of at most %d bytes, a snapshot or a skip", maxChangeBytes)
	}
}

func (c Change) wire() changeWire {
	return changeWire{ID: c.id, Branch: c.branch, Base: c.base, Team: c.team, Content: c.content, Signature: c.signature}
}

func (w changeWire) change() (c Change, err error) {
	if _, err := call.ParseID(w.ID); err != nil {
		return Change{}, err
	}
	if w.Base < 0 || w.Base+1 < 0 {
		return Change{}, fmt.Errorf("base revision is %d; expected 0 or more", w.Base)
	}
	return Change{id: w.ID, branch: w.Branch, base: w.Base, team: w.Team, content: w.Content, signature: w.Signature}, nil
}

// marshal encodes JSON without escaping <, > and &, which would take six times
// the space.
func marshal(value any) (data []byte, err error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimRight(buffer.Bytes(), "\n"), nil
}

// unmarshal decodes JSON. It rejects unknown keys and data after the value.
func unmarshal(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
