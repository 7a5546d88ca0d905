package hop_test

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/early"
)

// endless is the length that a request states whose upload never gets so far.
const endless = 1 << 40

// uploadEarly sends an upload and reads the answer to it. beforeBody is called when the head of
// the answer has been read.
func uploadEarly(t *testing.T, pool *hop.Pool, upload *early.Upload, length int64, beforeBody func()) (status int, body string, err error) {
	t.Helper()
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "example", Header: http.Header{}, Body: upload, ContentLength: length,
	}
	answer, err := pool.Do(t.Context(), request, "a", func(int, http.Header) bool { return true })
	if err != nil {
		return 0, "", err
	}
	defer answer.Close()
	beforeBody()
	data, complete, err := answer.ReadAll(1 << 20)
	if err == nil {
		must.True(t, complete)
	}
	return answer.StatusCode, string(data), err
}

// Guards against a part of an answer that passes for a whole one because the write of the upload
// has taken the error of the connection, and against a whole answer that is lost with the upload.
func TestAnswerDuringUpload(t *testing.T) {
	for name, c := range early.Cases("") {
		for framing, length := range map[string]int64{"length": endless, "chunks": -1} {
			for moment, readFirst := range map[string]int64{"at once": 0, "during the upload": early.FirstBytes / 2} {
				for _, isKept := range []bool{false, true} {
					for _, first := range []string{"read", "write", "either"} {
						t.Run(fmt.Sprintf("%s/%s, %s, kept %t, %s first", name, framing, moment, isKept, first), func(t *testing.T) {
							upload := early.NewUpload()
							s, err := early.Start("127.0.0.1:0", "", func(r *http.Request) early.Answer {
								if r.ContentLength == 0 {
									return early.Answer{Text: "HTTP/1.1 204 No Content\r\n\r\n", KeepsOpen: true}
								}
								if first == "read" {
									<-upload.Waiting()
								}
								c.ReadFirst = readFirst
								return c.Answer
							})
							must.NoError(t, err)
							defer s.Close()
							pool := hop.New(s.Address())
							if isKept {
								_, err = send(t.Context(), pool, http.MethodGet, "")
								must.NoError(t, err)
							}
							if first == "either" {
								upload.Release(nil)
							}
							status, body, err := uploadEarly(t, pool, upload, length, func() {
								if first != "write" {
									return
								}
								s.AwaitEnd()
								upload.Release(nil)
								// Behind a half-close the upload goes on.
								if c.End != early.HalfClose {
									<-upload.Closed()
								}
							})
							if first == "read" {
								upload.Release(nil)
							}
							<-upload.Closed()
							must.NoError(t, c.Check(status, body, err))
						})
					}
				}
			}
		}
	}
}

// Guards against a part of an answer that passes for a whole one after the upload, or after it has
// been given up because the caller has gone.
func TestAnswerAfterUpload(t *testing.T) {
	for name, c := range early.Cases("") {
		for framing, lengths := range map[string]struct{ whole, givenUp int64 }{"length": {early.FirstBytes, endless}, "chunks": {-1, -1}} {
			t.Run(name+"/"+framing+", whole", func(t *testing.T) {
				upload := early.NewUpload()
				upload.Release(io.EOF)
				s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer {
					c.ReadFirst = -1
					return c.Answer
				})
				must.NoError(t, err)
				defer s.Close()
				status, body, err := uploadEarly(t, hop.New(s.Address()), upload, lengths.whole, func() {})
				must.NoError(t, c.Check(status, body, err))
			})
			t.Run(name+"/"+framing+", given up", func(t *testing.T) {
				upload := early.NewUpload()
				upload.Release(io.ErrUnexpectedEOF)
				s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer {
					<-upload.Closed()
					c.ReadFirst = early.FirstBytes / 2
					return c.Answer
				})
				must.NoError(t, err)
				defer s.Close()
				status, body, err := uploadEarly(t, hop.New(s.Address()), upload, lengths.givenUp, func() {})
				must.NoError(t, c.Check(status, body, err))
			})
		}
	}
}
