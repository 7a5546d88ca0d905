package mesh

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/quarantine"
)

// headerEvidence carries the evidence against a request, with the request to the node beside
// a backend server and with the result to the node that sent it. Messages between nodes take
// as long as the next attempt, so an attempt could run before its node has heard of the
// crash under the attempt before. It is a header of its own because nodes of earlier
// versions ignore it, while they reject additional fields of headerHop.
const headerEvidence = internalPrefix + "Suspect"

// reportEvidence adds the evidence against the request to a result that depends on it.
func (s *sidecar) reportEvidence(req *request, res *result) {
	if res.reason == call.ReasonCrashed || res.reason == call.ReasonQuarantined {
		res.evidence = evidenceOn(s.quarantine, req.fingerprint)
	}
}

// evidenceOn returns the evidence against one request.
func evidenceOn(list *quarantine.List, fingerprint quarantine.Fingerprint) (evidence []suspectRequest) {
	if !list.IsSuspect(fingerprint) {
		return nil
	}
	return encodeEvidence(list.Evidence(time.Now(), []quarantine.Fingerprint{fingerprint}))
}

// mergeEvidenceOn adds the evidence on a request that came with it or with its result.
func (q *quarantineSync) mergeEvidenceOn(fingerprint quarantine.Fingerprint, evidence []suspectRequest) {
	for _, e := range evidence {
		if e.Request == fingerprint {
			q.merge([]suspectRequest{e})
			return
		}
	}
}

// suspectAnswered records that a request has completed that was suspect here when it was
// sent. Other nodes are only told of it if it was restricted.
func (q *quarantineSync) suspectAnswered(req *request) {
	if len(req.evidence) > 0 && q.list.RecordRun(time.Now(), req.fingerprint) {
		q.requestReleased(req.fingerprint)
	}
}

func setEvidence(h http.Header, evidence []suspectRequest) {
	if len(evidence) == 0 {
		return
	}
	// Evidence consists of numbers and fingerprints, which can always be encoded.
	if encoded, err := json.Marshal(evidence); err == nil {
		h.Set(headerEvidence, string(encoded))
	}
}

// readEvidence returns the evidence in a header, or none if it can't be decoded.
func readEvidence(h http.Header) []suspectRequest {
	encoded := h.Get(headerEvidence)
	// Nearly all messages have none, and the decoder makes its target escape to the heap.
	if encoded == "" {
		return nil
	}
	var evidence []suspectRequest
	if json.Unmarshal([]byte(encoded), &evidence) != nil {
		return nil
	}
	return evidence
}
