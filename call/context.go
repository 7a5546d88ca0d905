package call

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of calls. Nodes remove the headers that only nodes may set from
// messages of callers and backend servers.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "Lacewingslip-Timeout-Ms"
	HeaderOutcome = "Lacewingslip-Outcome"
	HeaderReason  = "Lacewingslip-Reason"
	HeaderNextKey = "Lacewingslip-Next-Key"
	HeaderRetries = "Lacewingslip-Retries"
	// HeaderAttemptOutcome is "notRun" next to an unknown outcome if this request
	// itself certainly did not run and never will, and only an earlier request with
	// the same key may have run. A caller that has not used the key before may retry
	// with another key.
	HeaderAttemptOutcome = "Lacewingslip-Attempt"

	HeaderRequest    = "Lacewingslip-Request"
	HeaderCall       = "Lacewingslip-Call"
	HeaderDepth      = "Lacewingslip-Depth"
	HeaderImportance = "Lacewingslip-Importance"
	HeaderTokens     = "Lacewingslip-Tokens"
	HeaderRepeated   = "Lacewingslip-Repeated"
	HeaderIssuedKey  = "Lacewingslip-Key"
	HeaderSuccessor  = "Lacewingslip-Successor"
	HeaderClock      = "Lacewingslip-Clock"

	HeaderTokensLeft = "Lacewingslip-Tokens-Left"
	// HeaderShed marks an error answer to a call if one of its child calls, or a
	// call further down the chain, was refused because of overload.
	HeaderShed  = "Lacewingslip-Shed"
	HeaderLoad  = "Lacewingslip-Load"
	HeaderEpoch = "Lacewingslip-Epoch"
)

const (
	headerPrefix = "Lacewingslip-"

	// MaxDepth bounds the length of a chain of calls, so that a cycle of services
	// ends. The deepest chain that must be supported has 26 calls.
	MaxDepth = 32
	// MaxTokens is the maximum number of retry tokens of a customer request.
	MaxTokens = 10
	// MaxTimeout is the maximum value of HeaderTimeout.
	MaxTimeout = 10 * time.Minute

	// BaggageCall is the W3C baggage member that carries the call ID through a
	// backend server.
	BaggageCall = "lacewingslip-call"
)

// Context is the metadata that one node sends to the next with an attempt.
type Context struct {
	// Request identifies the customer request, the first call of the chain.
	Request ID
	// Call identifies this attempt. The answer repeats it.
	Call ID
	// Depth is 1 for a customer request and one more for each child call.
	Depth int
	// Importance is the importance of the customer request.
	Importance Importance
	// Tokens is the number of retry tokens lent with the attempt.
	Tokens int
	// Timeout is the time from sending the attempt to its deadline.
	Timeout time.Duration
	// Repeated is true if an earlier attempt of this call, or of one of the calls
	// that led to it, may have run.
	Repeated bool
}

// Write sets the headers that [ParseContext] reads.
func (c Context) Write(header http.Header) {
	header.Set(HeaderRequest, string(c.Request))
	header.Set(HeaderCall, string(c.Call))
	header.Set(HeaderDepth, strconv.Itoa(c.Depth))
	header.Set(HeaderImportance, c.Importance.String())
	header.Set(HeaderTokens, strconv.Itoa(c.Tokens))
	header.Set(HeaderTimeout, FormatTimeout(c.Timeout))
	if c.Repeated {
		header.Set(HeaderRepeated, "true")
	}
}

// ParseContext parses the context of an attempt that another node sent. It checks
// every field, because an attempt with an invalid context must not run.
func ParseContext(header http.Header) (c Context, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("call context: %w", err)
		}
	}()
	if c.Request, err = ParseID(header.Get(HeaderRequest)); err != nil {
		return Context{}, err
	}
	if c.Call, err = ParseID(header.Get(HeaderCall)); err != nil {
		return Context{}, err
	}
	if c.Depth, err = ParseCount(header, HeaderDepth, 1, MaxDepth); err != nil {
		return Context{}, err
	}
	if c.Importance, err = ParseImportance(header.Get(HeaderImportance)); err != nil {
		return Context{}, err
	}
	if c.Tokens, err = ParseCount(header, HeaderTokens, 0, MaxTokens); err != nil {
		return Context{}, err
	}
	if c.Timeout, err = ParseTimeout(header.Get(HeaderTimeout)); err != nil {
		return Context{}, err
	}
	c.Repeated, err = parseRepeated(header.Get(HeaderRepeated))
	if err != nil {
		return Context{}, err
	}
	return c, nil
}

// FormatTimeout formats the remaining time as whole milliseconds, rounded down so
// that the receiver never assumes more time than the sender has left.
func FormatTimeout(remaining time.Duration) string {
	return strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)
}

// ParseTimeout parses the result of [FormatTimeout].
func ParseTimeout(text string) (remaining time.Duration, err error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > MaxTimeout.Milliseconds() {
		return 0, fmt.Errorf("%s: %q is not a number of milliseconds from 0 to %d",
			HeaderTimeout, text, MaxTimeout.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

// ParseCount parses a header that holds a whole number from low to high.
func ParseCount(header http.Header, name string, low, high int) (n int, err error) {
	text := header.Get(name)
	n, err = strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, fmt.Errorf("%s: %q is not a whole number from %d to %d", name, text, low, high)
	}
	return n, nil
}

// RemoveInternal deletes every header that only nodes may set. Header names must
// be in canonical form, as in headers that net/http has read.
func RemoveInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

func parseRepeated(text string) (repeated bool, err error) {
	switch text {
	case "":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, fmt.Errorf("%s: %q is neither absent nor true", HeaderRepeated, text)
	}
}
