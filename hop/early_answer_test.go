package hop_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

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
func uploadEarly(ctx context.Context, t *testing.T, pool *hop.Pool, upload *early.Upload, hasLength bool, beforeBody func()) (status int, body string, err error) {
	t.Helper()
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "example", Header: http.Header{}, Body: upload, ContentLength: -1,
	}
	if hasLength {
		request.ContentLength = upload.Length()
	}
	answer, err := pool.Do(ctx, request, "a", func(int, http.Header) bool { return true })
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

// exchangeCase is how a request is sent whose answer arrives during the upload.
type exchangeCase struct {
	answer early.Case
	// hasLength is true if the upload states its length, and isKept if the connection has carried a
	// request before.
	hasLength, isKept bool
	// readFirst is how much of the upload the server reads before it answers.
	readFirst int64
	// seenFirst is the direction in which the end of the connection is seen first: "read",
	// "write", or "either" if that is left to chance.
	seenFirst string
}

// answerOnce is the answer to the first request of a connection that is kept.
var answerOnce = early.Answer{Text: "HTTP/1.1 204 No Content\r\n\r\n", IsKept: true}

func (c exchangeCase) run(t *testing.T) {
	upload := early.NewUpload(firstBytes, early.Endless)
	s, err := early.Start("127.0.0.1:0", "", func(r *http.Request) early.Answer {
		if r.ContentLength == 0 {
			return answerOnce
		}
		if c.seenFirst == "read" {
			// No write is in progress then.
			<-upload.Waiting()
		}
		answer := c.answer.Answer
		answer.ReadFirst = c.readFirst
		return answer
	})
	must.NoError(t, err)
	defer s.Close()
	pool := hop.New(s.Address())
	if c.isKept {
		_, err = send(t.Context(), pool, http.MethodGet, "")
		must.NoError(t, err)
	}
	if c.seenFirst == "either" {
		upload.Release(nil)
	}
	status, body, err := uploadEarly(t.Context(), t, pool, upload, c.hasLength, func() {
		if c.seenFirst != "write" {
			return
		}
		s.AwaitEnd()
		upload.Release(nil)
		// After a half-close the upload goes on.
		if c.answer.End != early.HalfClose {
			<-upload.Closed()
		}
	})
	if c.seenFirst == "read" {
		upload.Release(nil)
	}
	<-upload.Closed()
	must.NoError(t, c.answer.Check(status, body, err))
}

// Guards against a part of an answer that passes for a whole one because the write of the upload
// has taken the error of the connection, and against a whole answer that is lost with the upload.
func TestAnswerDuringUpload(t *testing.T) {
	for name, answer := range early.Cases("") {
		for framing, hasLength := range uploadFramings {
			for moment, readFirst := range map[string]int64{"at once": 0, "during the upload": firstBytes / 2} {
				for _, isKept := range []bool{false, true} {
					for _, seenFirst := range []string{"read", "write", "either"} {
						t.Run(fmt.Sprintf("%s/%s, %s, kept %t, %s first", name, framing, moment, isKept, seenFirst), func(t *testing.T) {
							exchangeCase{answer, hasLength, isKept, readFirst, seenFirst}.run(t)
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
	ends := map[string]struct {
		rest      int
		err       error
		readFirst int64
	}{
		"whole":    {readFirst: -1},
		"given up": {rest: early.Endless, err: io.ErrUnexpectedEOF, readFirst: firstBytes / 2},
	}
	for answerName, c := range early.Cases("") {
		for framing, hasLength := range uploadFramings {
			for name, end := range ends {
				t.Run(answerName+"/"+framing+", "+name, func(t *testing.T) {
					upload := early.NewUpload(firstBytes, end.rest)
					upload.Release(end.err)
					answer := c.Answer
					answer.ReadFirst = end.readFirst
					s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer {
						<-upload.Closed()
						return answer
					})
					must.NoError(t, err)
					defer s.Close()
					status, body, err := uploadEarly(t.Context(), t, hop.New(s.Address()), upload, hasLength, func() {})
					must.NoError(t, c.Check(status, body, err))
				})
			}
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
						return answerOnce
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
				status, body, err := uploadEarly(t.Context(), t, pool, upload, true, func() {})
				must.NoError(t, c.Check(status, body, err))
			})
		}
	}
}

// Guards against a part of an answer that passes for a whole one because this process has ended the
// connection during the upload.
func TestAnswerEndsWithContextDuringUpload(t *testing.T) {
	for name, end := range map[string]func(ctx context.Context) (context.Context, context.CancelFunc){
		"canceled": context.WithCancel,
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 50*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer {
				return early.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart", End: early.Stay}
			})
			must.NoError(t, err)
			defer s.Close()
			upload := early.NewUpload(firstBytes, early.Endless)
			upload.Release(nil)
			ctx, cancel := end(t.Context())
			defer cancel()
			_, _, err = uploadEarly(ctx, t, hop.New(s.Address()), upload, true, func() {
				if name == "canceled" {
					cancel()
				}
			})
			must.Error(t, err)
			<-upload.Closed()
		})
	}
}

// Guards against a wait for an answer after a short request that this process has not written to
// its end: the connection is open, and the server has nothing to answer.
func TestShortUploadThatFailsEndsAtOnce(t *testing.T) {
	s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer { return early.Answer{End: early.Stay} })
	must.NoError(t, err)
	defer s.Close()
	upload := early.NewUpload(firstShortBytes, 1)
	upload.Release(io.ErrUnexpectedEOF)
	_, _, err = uploadEarly(t.Context(), t, hop.New(s.Address()), upload, true, func() {})
	must.Error(t, err)
	must.True(t, hop.MayHaveRun(err))
}
