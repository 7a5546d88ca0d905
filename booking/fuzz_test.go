package booking

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against texts that make the parser panic, and against two texts that
// denote the same key.
func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{Issue("orders", "orders-1", 1, 0).String(), "", "k1:::::", "k1:s:n:0000000000000001:1:", "1700000000-order-7", strings.Repeat(":", 500)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := ParseKey(text); err == nil {
			must.Eq(t, text, k.String())
		}
	})
}

// Guards against caller-chosen keys that make the parser panic, or that change
// when they are encoded in a log record and decoded again.
func FuzzParseCallerKey(f *testing.F) {
	for _, seed := range []string{"1700000000-order-7", "", "-", "0-a", "99999999999-a", "1-\x00", "1-<&>\"\\"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		created, err := ParseCallerKey(text)
		if err != nil {
			return
		}
		c := claim{callerKey: text, created: created, issued: Issue("s", "n", 1, 2)}
		data, err := batch{claims: []claim{c}}.encode()
		must.NoError(t, err)
		b, err := decodeBatch(data)
		must.NoError(t, err)
		must.Eq(t, c.callerKey, b.claims[0].callerKey)
		must.True(t, c.created.Equal(b.claims[0].created))
	})
}

// Guards against log records that make a node panic, and against records that
// change when they are decoded and encoded again.
func FuzzDecodeBatch(f *testing.F) {
	good, err := batch{claims: []claim{{callerKey: "1700000000-a", issued: Issue("s", "n", 1, 2)}}}.encode()
	must.NoError(f, err)
	for _, seed := range []string{string(good), "", "null", "{}", `{"claims":[{}]}`, `{"claims":null} x`, string(good) + string(good), strings.Repeat("[", 10000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decodeBatch(data)
		if err != nil {
			return
		}
		again, err := b.encode()
		must.NoError(t, err)
		same, err := decodeBatch(again)
		must.NoError(t, err)
		must.Eq(t, len(b.claims), len(same.claims))
		for i := range b.claims {
			must.True(t, b.claims[i].issued == same.claims[i].issued && b.claims[i].callerKey == same.claims[i].callerKey)
		}
	})
}
