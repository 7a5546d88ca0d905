package settings

import (
	"crypto/ed25519"
	"fmt"
)

// skipWire is an operator's statement that the records in a range have no effect,
// because the first of them expired before any node read it. Without it all nodes
// would wait for them forever.
type skipWire struct {
	// From is the offset up to which the nodes have read.
	From int64 `json:"from"`
	// To is the offset from which the nodes go on.
	To int64 `json:"to"`
	// Signature is by the root key.
	Signature []byte `json:"signature"`
}

func (w skipWire) payload() []byte {
	return fmt.Appendf(nil, "lacewingslip settings skip 1:%d:%d", w.From, w.To)
}

// EncodeSkip returns a record that lets readers pass over the records in a range,
// signed with the root key. It must only be written if no node has read any of
// them: a node that has would keep settings that no other node has.
func EncodeSkip(from, to int64, root ed25519.PrivateKey) (data []byte, err error) {
	wire := skipWire{From: from, To: to}
	wire.Signature = ed25519.Sign(root, wire.payload())
	return marshal(recordWire{Skip: &wire})
}

// holdSkip closes a gap that begins exactly where the skip does. A reader that
// lacks more asks its peers first.
func (h *History) holdSkip(offset int64, wire skipWire) Verdict {
	switch {
	case !verify(h.rootKey, wire.payload(), wire.Signature):
		return Verdict{Kind: Held, Offset: offset, Reason: "skip is not signed by the root key"}
	case wire.From != h.next || wire.To < h.held[0].Offset || wire.To > offset:
		return Verdict{Kind: Held, Offset: offset}
	}
	h.next = wire.To
	h.tail = nil
	return Verdict{Kind: Restored, Offset: offset, Replayed: h.release()}
}
