// Package malformed has responses that are not valid HTTP/1.1 messages (RFC 9110, RFC 9112), and
// is a stand-in for a server that sends such responses.
//
// # Usage
//
//	for name, response := range malformed.FieldLines("X-Request-Id: a\r\n") {
//		s, err := malformed.Start("127.0.0.1:0", func(*http.Request) string { return response.Text })
//		...
//	}
package malformed

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

const (
	// Body is the body of all responses, as far as they have one.
	Body = "ok"

	// breachMark follows the first octet that no valid response can have there.
	breachMark = "|"
	// fieldsMark stands for the fields of the server, and bodyMark for a length and the body.
	fieldsMark, bodyMark = "{fields}", "{body}"

	okHead  = "HTTP/1.1 200 OK\r\n"
	chunked = okHead + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n"
)

// LongChunk is the end of a valid head and a chunk that is longer than what is read at once, so
// that the head is read before what follows the chunk.
var LongChunk = "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("x", 0x1388) + "\r\n"

// Response is a malformed response.
type Response struct {
	// Text is the whole response.
	Text string
	// Breach is the number of octets after which the response can't be valid any more.
	Breach int
}

// UpToBreach returns the octets of the response by which it is known to be malformed.
func (r Response) UpToBreach() string { return r.Text[:r.Breach] }

// All returns the responses of all groups by name, as [StatusLines] does.
func All(fields string) map[string]Response {
	responses := StatusLines(fields)
	maps.Copy(responses, FieldLines(fields))
	maps.Copy(responses, Lengths(fields))
	maps.Copy(responses, Chunks(fields))
	return responses
}

// StatusLines returns responses with a malformed status line by name. fields has the field lines
// that a sound response would have, each with its line end.
func StatusLines(fields string) map[string]Response {
	return expand(fields, map[string]string{
		"status 000":                "HTTP/1.1 0|00 OK\r\n{fields}{body}",
		"status 000, no body":       "HTTP/1.1 0|00 OK\r\n{fields}Content-Length: 0\r\n\r\n",
		"status 000, a head behind": "HTTP/1.1 0|00 OK\r\n{fields}Content-Length: 0\r\n\r\n" + okHead + "{fields}{body}",
		"status 099":                "HTTP/1.1 0|99 OK\r\n{fields}{body}",
		"status 600":                "HTTP/1.1 6|00 OK\r\n{fields}{body}",
		"status 999":                "HTTP/1.1 9|99 OK\r\n{fields}{body}",
		"status with a sign":        "HTTP/1.1 +|20 OK\r\n{fields}{body}",
		"status of 2 digits":        "HTTP/1.1 20 |OK\r\n{fields}{body}",
		"status of 4 digits":        "HTTP/1.1 2000| OK\r\n{fields}{body}",
		"status is a word":          "HTTP/1.1 O|K\r\n{fields}{body}",
		"no status":                 "HTTP/1.1\r|\n{fields}{body}",
		"no space behind status":    "HTTP/1.1 200O|K\r\n{fields}{body}",
		"tab behind status":         "HTTP/1.1 200\t|OK\r\n{fields}{body}",
		"two spaces before status":  "HTTP/1.1  |200 OK\r\n{fields}{body}",
		"tab before status":         "HTTP/1.1\t|200 OK\r\n{fields}{body}",
		"NUL in reason":             "HTTP/1.1 200 O\x00|K\r\n{fields}{body}",
		"ESC in reason":             "HTTP/1.1 200 O\x1b|K\r\n{fields}{body}",
		"DEL in reason":             "HTTP/1.1 200 O\x7f|K\r\n{fields}{body}",
		"CR in reason":              "HTTP/1.1 200 O\rK|\r\n{fields}{body}",
		"version 2":                 "HTTP/2|.0 200 OK\r\n{fields}{body}",
		"version 0.9":               "HTTP/0|.9 200 OK\r\n{fields}{body}",
		"minor version of 2 digits": "HTTP/1.10| 200 OK\r\n{fields}{body}",
		"minor version missing":     "HTTP/1. |200 OK\r\n{fields}{body}",
		"version in lower case":     "h|ttp/1.1 200 OK\r\n{fields}{body}",
		"another protocol":          "I|CY 200 OK\r\n{fields}{body}",
		"space before version":      " |HTTP/1.1 200 OK\r\n{fields}{body}",
		"line break before version": "\r|\nHTTP/1.1 200 OK\r\n{fields}{body}",
		"octets of no protocol":     "\x16|\x03\x01",
		"change of protocol":        "HTTP/1.1 101| Switching Protocols\r\n{fields}Upgrade: x\r\nConnection: upgrade\r\n\r\n",
		"informational response":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 0|00 OK\r\n{fields}{body}",
	})
}

// FieldLines returns responses with a malformed field line by name, as [StatusLines] does.
func FieldLines(fields string) map[string]Response {
	cases := make(map[string]string)
	for name, line := range map[string]string{
		"space in name":                 "X |Bad: 1",
		"space behind name":             "X-Bad |: 1",
		"tab in name":                   "X\t|Bad: 1",
		"tab behind name":               "X-Bad\t|: 1",
		"NUL in name":                   "X\x00|Bad: 1",
		"control character in name":     "X\x01|Bad: 1",
		"DEL in name":                   "X\x7f|Bad: 1",
		"CR in name":                    "X\r|Bad: 1",
		"octet beyond ASCII in name":    "X\xe4|Bad: 1",
		"delimiter in name":             "X(|Bad): 1",
		"quotation mark in name":        "\"|X\": 1",
		"empty name":                    ":| 1",
		"line without colon":            "XBad\r|",
		"space behind transfer coding":  "Transfer-Encoding |: chunked",
		"space behind length":           "Content-Length |: 1",
		"NUL in value":                  "X-Bad: a\x00|b",
		"control character in value":    "X-Bad: a\x01|b",
		"ESC in value":                  "X-Bad: a\x1b|b",
		"DEL in value":                  "X-Bad: a\x7f|b",
		"CR in value":                   "X-Bad: a\rb|",
		"two CR at the end":             "X-Bad: a\r\r|",
		"control character, folded":     "X-Bad: a\r\n b\x00|",
		"space in name behind a fold":   "X-Bad: a\r\n b\r\nX |Bad: 1",
		"control character in own name": "X-Request\x02|-Id: a",
	} {
		cases[name] = okHead + "{fields}" + line + "\r\n{body}"
		cases[name+", first"] = okHead + line + "\r\n{fields}{body}"
		cases[name+", informational"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + okHead + "{fields}{body}"
		cases[name+", no body"] = "HTTP/1.1 204 No Content\r\n{fields}" + line + "\r\n\r\n"
	}
	cases["space before first name"] = okHead + " |X-Bad: 1\r\n{fields}{body}"
	cases["tab before first name"] = okHead + "\t|X-Bad: 1\r\n{fields}{body}"
	return expand(fields, cases)
}

// Lengths returns responses by name that state the length of their body in a way that is
// invalid, or that receivers read differently, as [StatusLines] does.
func Lengths(fields string) map[string]Response {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	return expand(fields, map[string]string{
		"length and transfer coding":    okHead + "{fields}Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n|" + chunks,
		"transfer coding and length":    okHead + "{fields}Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n|" + chunks,
		"transfer coding, HTTP/1.0":     "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n|" + chunks,
		"kept open, HTTP/1.0":           "HTTP/1.0 200 OK\r\n{fields}Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n|" + chunks,
		"chunked twice":                 okHead + "{fields}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r|\n" + chunks,
		"chunked twice in one line":     okHead + "{fields}Transfer-Encoding: chunked, chunked\r\n\r|\n" + chunks,
		"another transfer coding":       okHead + "{fields}Transfer-Encoding: gzip, chunked\r\n\r|\n" + chunks,
		"chunked is not the last":       okHead + "{fields}Transfer-Encoding: chunked, identity\r\n\r|\n" + chunks,
		"transfer coding is empty":      okHead + "{fields}Transfer-Encoding:\r\n\r|\n" + chunks,
		"negative length":               okHead + "{fields}Content-Length: -2\r\n\r|\nok",
		"length with a sign":            okHead + "{fields}Content-Length: +2\r\n\r|\nok",
		"length is a word":              okHead + "{fields}Content-Length: two\r\n\r|\nok",
		"hexadecimal length":            okHead + "{fields}Content-Length: 0x2\r\n\r|\nok",
		"length with a fraction":        okHead + "{fields}Content-Length: 2.0\r\n\r|\nok",
		"length is empty":               okHead + "{fields}Content-Length:\r\n\r|\nok",
		"length beyond 64 bits":         okHead + "{fields}Content-Length: 18446744073709551618\r\n\r|\nok",
		"two lengths":                   okHead + "{fields}Content-Length: 2\r\nContent-Length: 1\r\n\r|\nok",
		"two lengths in one line":       okHead + "{fields}Content-Length: 2, 1\r\n\r|\nok",
		"lengths of a refusal differ":   "HTTP/1.1 503 Busy\r\n{fields}X-Not-Executed: 1\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r|\nok",
		"length and coding, no content": "HTTP/1.1 204 No Content\r\n{fields}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n|",
	})
}

// Chunks returns responses with a malformed chunked body or malformed trailers by name, as
// [StatusLines] does.
func Chunks(fields string) map[string]Response {
	cases := map[string]string{
		"size is no number":             chunked + "z|z\r\nok\r\n0\r\n\r\n",
		"size is empty":                 chunked + "\r|\nok\r\n0\r\n\r\n",
		"size is negative":              chunked + "-|2\r\nok\r\n0\r\n\r\n",
		"size has a prefix":             chunked + "0x|2\r\nok\r\n0\r\n\r\n",
		"size beyond 64 bits":           chunked + "00000000000000002|\r\nok\r\n0\r\n\r\n",
		"space before size":             chunked + " |2\r\nok\r\n0\r\n\r\n",
		"line feed behind size":         chunked + "2\n|ok\r\n0\r\n\r\n",
		"NUL in extension":              chunked + "2;a\x00|b\r\nok\r\n0\r\n\r\n",
		"CR in extension":               chunked + "2;a\rb|\r\nok\r\n0\r\n\r\n",
		"line feed in extension":        chunked + "2;a\n|ok\r\n0\r\n\r\n",
		"control character behind size": chunked + "2\x01|\r\nok\r\n0\r\n\r\n",
		"chunk longer than its size":    chunked + "1\r\nok|\r\n0\r\n\r\n",
		"chunk shorter than its size":   chunked + "4\r\nok\r\n0|\r\n\r\n",
		"line feed behind chunk":        chunked + "2\r\nok\n|0\r\n\r\n",
		"second chunk is no chunk":      chunked + "1\r\no\r\nk|\r\n0\r\n\r\n",
		"line feed behind last chunk":   chunked + "2\r\nok\r\n0\n|\n",
	}
	for name, line := range map[string]string{
		"space in name":      "X |Bad: 1",
		"space behind name":  "X-Bad |: 1",
		"control character":  "X\x01|Bad: 1",
		"empty name":         ":| 1",
		"line without colon": "XBad\r|",
		"NUL in value":       "X-Bad: a\x00|b",
		"space before name":  " |X-Bad: 1",
		"a second response":  "HTTP/|1.1 200 OK\r\nContent-Length: 0",
	} {
		cases["trailer: "+name] = chunked + "2\r\nok\r\n0\r\n" + line + "\r\n\r\n"
	}
	return expand(fields, cases)
}

func expand(fields string, cases map[string]string) map[string]Response {
	responses := make(map[string]Response, len(cases))
	for name, text := range cases {
		text = strings.ReplaceAll(text, fieldsMark, fields)
		text = strings.ReplaceAll(text, bodyMark, "Content-Length: 2\r\n\r\n"+Body)
		before, after, _ := strings.Cut(text, breachMark)
		responses[name] = Response{Text: before + after, Breach: len(before)}
	}
	return responses
}

// Server answers each request with octets that need not be a response, and keeps the connection
// open until its client closes it. It is safe for concurrent use.
type Server struct {
	listener    net.Listener
	answer      func(r *http.Request) string
	connections atomic.Int64
	requests    atomic.Int64
}

// Start starts a server on the address host:port. answer returns what is sent for a request.
func Start(address string, answer func(r *http.Request) string) (s *Server, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &Server{listener: listener, answer: answer}
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// Requests returns the number of requests read so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close stops listening. Connections end when their clients close them.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if _, err = io.WriteString(c, s.answer(r)); err != nil {
			return
		}
	}
}
