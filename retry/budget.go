package retry

import "github.com/lacewingslip/lacewingslip/call"

// Budget holds the tokens of one call while its sender makes attempts. It is
// not safe for concurrent use.
type Budget struct {
	tokens  int
	lent    int
	retries int
}

// NewBudget returns a budget of granted or permitted tokens.
func NewBudget(tokens int) *Budget {
	return &Budget{tokens: min(max(tokens, 0), call.MaxTokens)}
}

// Lend returns the number of tokens to send with the next attempt. All are
// lent, since they come back unless the answer is lost. One is held back where
// the sender may repeat the call even then: a lookup that may run twice, or a
// booking, whose repeat with the same key learns the outcome.
func (b *Budget) Lend(policy call.RepeatPolicy) (tokens int) {
	b.lent = b.tokens
	if policy != call.IfNotRun && b.tokens > 1 {
		b.lent--
	}
	b.tokens -= b.lent
	return b.lent
}

// Return adds the tokens that came back with the answer to the latest attempt.
// Without an answer, or with one of unknown origin, left is zero. The number
// can't exceed what was lent.
func (b *Budget) Return(left int) {
	b.tokens += min(max(left, 0), b.lent)
	b.lent = 0
}

// Spend takes a token for another attempt and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Left returns the tokens that can be given back to whoever lent them.
func (b *Budget) Left() int { return b.tokens }

// Retries returns the number of attempts that Spend allowed.
func (b *Budget) Retries() int { return b.retries }
