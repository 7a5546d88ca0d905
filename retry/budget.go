package retry

import "github.com/lacewingslip/lacewingslip/call"

// Budget holds the retry tokens of one call while its sender makes attempts. It is not
// safe for concurrent use.
type Budget struct {
	tokens  int
	lent    int
	retries int
}

// NewBudget returns a budget with the granted or lent tokens, but at most
// [call.MaxTokens].
func NewBudget(tokens int) *Budget {
	return &Budget{tokens: min(max(tokens, 0), call.MaxTokens)}
}

// Lend returns the number of tokens to send with the next attempt. It lends all
// tokens, because they are returned unless the answer is lost. If the sender may
// repeat the call even after a lost answer, and there is more than one token, one of
// them is held back. This applies to lookups that may run twice, and to bookings,
// which are repeated with the same key to get the outcome.
func (b *Budget) Lend(policy call.RepeatPolicy) (tokens int) {
	b.lent = b.tokens
	if policy != call.IfNotRun && b.tokens > 1 {
		b.lent--
	}
	b.tokens -= b.lent
	return b.lent
}

// Return adds the tokens that were returned with the answer to the latest attempt, but
// not more than were lent. If there was no answer, or if its origin is unknown,
// returned must be zero.
func (b *Budget) Return(returned int) {
	b.tokens += min(max(returned, 0), b.lent)
	b.lent = 0
}

// Spend removes a token for another attempt and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Remaining returns the number of remaining tokens, which can be returned to the lender.
func (b *Budget) Remaining() int { return b.tokens }

// Retries returns the number of attempts that Spend has allowed.
func (b *Budget) Retries() int { return b.retries }
