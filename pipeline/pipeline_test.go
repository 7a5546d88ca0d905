package pipeline_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/pipeline"
)

// Guards against starting a request that may not be repeated, that has a body, or that net/http
// may understand in another way.
func TestNext(t *testing.T) {
	const get, host = "GET /safe HTTP/1.1\r\n", "Host: a\r\n"
	for name, c := range map[string]struct {
		held    string
		verdict pipeline.Verdict
	}{
		"plain":                 {get + host + "\r\n", pipeline.Starts},
		"another behind":        {get + host + "\r\n" + get, pipeline.Starts},
		"empty body":            {"POST /safe HTTP/1.1\r\nContent-Length: 0\r\n" + host + "\r\n", pipeline.Starts},
		"kept alive":            {get + host + "Connection: Keep-Alive\r\n\r\n", pipeline.Starts},
		"part of a head":        {get + host + "\r", pipeline.Incomplete},
		"not repeatable":        {"GET /once HTTP/1.1\r\n" + host + "\r\n", pipeline.Waits},
		"body":                  {get + host + "Content-Length: 1\r\n\r\nx", pipeline.Waits},
		"signed length":         {get + host + "Content-Length: +0\r\n\r\n", pipeline.Waits},
		"chunks":                {get + host + "transfer-encoding: chunked\r\n\r\n", pipeline.Waits},
		"expectation":           {get + host + "Expect: 100-continue\r\n\r\n", pipeline.Waits},
		"upgrade":               {get + host + "Upgrade: websocket\r\n\r\n", pipeline.Waits},
		"close":                 {get + host + "Connection: close\r\n\r\n", pipeline.Waits},
		"close in a list":       {get + host + "Connection: keep-alive, close\r\n\r\n", pipeline.Waits},
		"older version":         {"GET /safe HTTP/1.0\r\n" + host + "\r\n", pipeline.Waits},
		"newer version":         {"GET /safe HTTP/2.0\r\n" + host + "\r\n", pipeline.Waits},
		"empty line before":     {"\r\n\r\n" + get + host + "\r\n", pipeline.Waits},
		"line feed only":        {get + "Host: a\n\r\n\r\n", pipeline.Waits},
		"head ends earlier":     {get + "Host: a\n\nGET /once HTTP/1.1\r\n" + host + "\r\n", pipeline.Waits},
		"folded line":           {get + host + " b: c\r\n\r\n", pipeline.Waits},
		"space before colon":    {get + "Host : a\r\n\r\n", pipeline.Waits},
		"no host":               {get + "A: b\r\n\r\n", pipeline.Waits},
		"two hosts":             {get + host + host + "\r\n", pipeline.Waits},
		"control character":     {get + host + "A: b\x00\r\n\r\n", pipeline.Waits},
		"character beyond":      {get + host + "A: \xff\r\n\r\n", pipeline.Waits},
		"absolute target":       {"GET http://a/safe HTTP/1.1\r\n" + host + "\r\n", pipeline.Waits},
		"authority in target":   {"GET //safe HTTP/1.1\r\n" + host + "\r\n", pipeline.Waits},
		"all of a server":       {"OPTIONS * HTTP/1.1\r\n" + host + "\r\n", pipeline.Waits},
		"tunnel":                {"CONNECT /safe HTTP/1.1\r\n" + host + "\r\n", pipeline.Waits},
		"head beyond the limit": {get + host + "A: " + strings.Repeat("b", 200) + "\r\n\r\n", pipeline.Waits},
	} {
		t.Run(name, func(t *testing.T) {
			rule := pipeline.Rule{Repeatable: func(host, target string) bool { return host == "a" && target == "/safe" }, HeadBytes: 200}
			length, verdict := rule.Next([]byte(c.held))
			must.Eq(t, c.verdict, verdict)
			if verdict == pipeline.Starts {
				must.Eq(t, strings.Index(c.held, "\r\n\r\n")+4, length)
			}
		})
	}
}

// Guards against taking bytes of a body for the head of a request.
func TestBodyBytes(t *testing.T) {
	for head, expected := range map[string]int64{
		"GET / HTTP/1.1\r\n\r\n":                                              0,
		"POST / HTTP/1.1\r\ncontent-length: 12\r\n\r\n":                       12,
		"POST / HTTP/1.1\nContent-Length: 3 \n\n":                             3,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n":   -1,
		"POST / HTTP/1.1\r\nContent-Length: a\r\n\r\n":                        -1,
		"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n":                     -1,
		"POST / HTTP/1.1\r\nContent-Length:\r\n 5\r\n\r\n":                    -1,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":               -1,
		"POST / HTTP/1.1\r\nX: a\r\nTRANSFER-ENCODING: x\r\nContent-Length:1": -1,
	} {
		length, ok := pipeline.BodyBytes([]byte(head))
		must.Eq(t, expected >= 0, ok, must.Sprint(head))
		must.Eq(t, max(expected, 0), length, must.Sprint(head))
	}
}
