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

// firstBytes is the length of the first part of an upload that is written while the answer is
// read, and firstShortBytes that of one which is written before.
const firstBytes, firstShortBytes = 64 << 10, 16 << 10

// uploadFramings has, by the framing of the body of a request, whether it states its length.
var uploadFramings = map[string]bool{"length": true, "chunks": false}

// uploadEarly sends an upload and reads the answer to it. beforeBody is called when the head of
// the answer has been read.
func uploadEarly(t *testing.T, pool *hop.Pool, upload *early.Upload, hasLength bool, beforeBody func()) (status int, body string, err error) {
	t.Helper()
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "example", Header: http.Header{}, Body: upload, ContentLength: -1,
	}
	if hasLength {
		request.ContentLength = upload.Length()
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
		for framing, hasLength := range uploadFramings {
			for moment, readFirst := range map[string]int64{"at once": 0, "during the upload": firstBytes / 2} {
				for _, isKept := range []bool{false, true} {
					for _, first := range []string{"read", "write", "either"} {
						t.Run(fmt.Sprintf("%s/%s, %s, kept %t, %s first", name, framing, moment, isKept, first), func(t *testing.T) {
							upload := early.NewUpload(firstBytes, early.Endless)
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
							status, body, err := uploadEarly(t, pool, upload, hasLength, func() {
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
		for framing, hasLength := range uploadFramings {
			t.Run(name+"/"+framing+", whole", func(t *testing.T) {
				upload := early.NewUpload(firstBytes, 0)
				upload.Release(nil)
				s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer {
					c.ReadFirst = -1
					return c.Answer
				})
				must.NoError(t, err)
				defer s.Close()
				status, body, err := uploadEarly(t, hop.New(s.Address()), upload, hasLength, func() {})
				must.NoError(t, c.Check(status, body, err))
			})
			t.Run(name+"/"+framing+", given up", func(t *testing.T) {
				upload := early.NewUpload(firstBytes, early.Endless)
				upload.Release(io.ErrUnexpectedEOF)
				s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer {
					<-upload.Closed()
					c.ReadFirst = firstBytes / 2
					return c.Answer
				})
				must.NoError(t, err)
				defer s.Close()
				status, body, err := uploadEarly(t, hop.New(s.Address()), upload, hasLength, func() {})
				must.NoError(t, c.Check(status, body, err))
			})
		}
	}
}

// Guards against a whole answer that is lost because the server has reset the connection before a
// short request has been written, and against a part of one that passes for a whole one.
func TestAnswerDuringShortUpload(t *testing.T) {
	for name, c := range early.Cases("") {
		for _, isKept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept %t", name, isKept), func(t *testing.T) {
				upload := early.NewUpload(firstShortBytes, 1)
				s, err := early.Start("127.0.0.1:0", "", func(r *http.Request) early.Answer {
					if r.ContentLength == 0 {
						return early.Answer{Text: "HTTP/1.1 204 No Content\r\n\r\n", KeepsOpen: true}
					}
					<-upload.Waiting()
					return c.Answer
				})
				must.NoError(t, err)
				defer s.Close()
				pool := hop.New(s.Address())
				if isKept {
					_, err = send(t.Context(), pool, http.MethodGet, "")
					must.NoError(t, err)
				}
				go func() {
					s.AwaitEnd()
					upload.Release(nil)
				}()
				status, body, err := uploadEarly(t, pool, upload, true, func() {})
				must.NoError(t, c.Check(status, body, err))
			})
		}
	}
}
