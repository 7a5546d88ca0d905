package settings

import (
	"crypto/ed25519"
	"fmt"
)

// skipWire is the JSON form of a skip record, with which an operator declares that
// the records in a range have no effect, because the first of them expired before any
// node read it. Without a skip record, all nodes would wait for the expired records
// forever.
type skipWire struct {
	// From is the offset of the first skipped record, up to which all nodes have
	// read the log.
	From int64 `json:"from"`
	// To is the offset at which the nodes continue.
	To int64 `json:"to"`
	// Signature is the signature with the root key.
	Signature []byte `json:"signature"`
}

func (w skipWire) payload() []byte {
	return fmt.Appendf(nil, "lacewingslip settings skip 1:%d:%d", w.From, w.To)
}

// EncodeSkip returns a record, signed with the root key, that makes readers skip
// the records in a range. It must be written only if no node has read any of them:
// a node that has read one would apply settings that no other node has.
func EncodeSkip(from, to int64, root ed25519.PrivateKey) (data []byte, err error) {
	wire := skipWire{From: from, To: to}
	wire.Signature = ed25519.Sign(root, wire.payload())
	return marshal(recordWire{Skip: &wire})
}

// applySkip closes a gap that begins exactly at the start of the skip. A reader that
// lacks earlier records first requests them from its peers.
func (h *History) applySkip(offset int64, wire skipWire) Verdict {
	switch {
	case !verifySignature(h.rootKey, wire.payload(), wire.Signature):
		return Verdict{Kind: Held, Offset: offset, Reason: "skip is not signed with the root key"}
	case wire.From != h.next || wire.To < h.held[0].Offset || wire.To > offset:
		return Verdict{Kind: Held, Offset: offset}
	}
	h.next = wire.To
	h.tail = nil
	return Verdict{Kind: Restored, Offset: offset, Replayed: h.replayHeld()}
}
