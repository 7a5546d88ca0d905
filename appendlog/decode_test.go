package appendlog

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an append response without a valid offset being accepted.
func FuzzDecodeAppended(f *testing.F) {
	for _, seed := range []string{`{"offset":7}`, `{}`, `{"offset":-1}`, `null`, `[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		offset, err := decodeAppendResponse(body)
		must.True(t, err != nil || offset >= 0)
	})
}

// Guards against accepting pages whose offsets have gaps, which would make a reader
// skip records or apply them in the wrong order.
func FuzzDecodePage(f *testing.F) {
	for _, seed := range []string{
		`{"records":[{"offset":3,"data":"YQ=="},{"offset":4,"data":""}],"oldest":2,"next":6}`,
		`{"records":[{"offset":3},{"offset":5}],"oldest":3,"next":6}`,
		`{"oldest":6,"next":5}`, `{"next":5}`, `{"records":[{"offset":9}],"oldest":0,"next":1}`,
	} {
		f.Add([]byte(seed), int64(3))
	}
	f.Fuzz(func(t *testing.T, body []byte, from int64) {
		page, err := decodePage(body, from)
		if err != nil {
			return
		}
		for i, record := range page.Records {
			must.Eq(t, max(from, page.Oldest)+int64(i), record.Offset)
			must.Less(t, page.Next, record.Offset)
		}
	})
}
