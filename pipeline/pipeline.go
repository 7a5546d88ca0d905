// Package pipeline decides which requests of a connection may start before the responses to
// the requests before them have been written. It does no I/O.
//
// It is designed for HTTP/1.1 connections with up to [MaxStarted] requests ahead and heads of
// some hundred bytes. A decision takes time in proportion to the length of the head.
//
// # Usage
//
// The owner of a connection holds the bytes that it has read behind the request in progress,
// and starts requests from their beginning:
//
//	rule := pipeline.Rule{Repeatable: repeatable, HeadBytes: 20 << 10}
//	length, verdict := rule.Next(held)
package pipeline

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// MaxStarted is the number of requests of a connection that may have started behind the
	// one that is being responded to.
	MaxStarted = 16
	// MaxHeldBytes limits the bytes of a connection that are read ahead. It holds the heads
	// of MaxStarted usual requests.
	MaxHeldBytes = 16 << 10
)

// Verdict states what happens with the first of the requests that are held.
type Verdict int

const (
	// Incomplete means that a part of the head has not arrived.
	Incomplete Verdict = iota
	// Waits means that the request, and all behind it, start only after the responses before
	// it.
	Waits
	// Starts means that the request may start.
	Starts
)

// Rule decides which requests may start.
type Rule struct {
	// Repeatable reports whether a request for the target may be repeated.
	Repeatable func(host, target string) bool
	// HeadBytes is the limit of the length of a head.
	HeadBytes int64
}

// Next returns the verdict on the request at the beginning of the bytes, and the length of its
// head if it may start. It accepts less than net/http does, so that no head is understood in
// two ways: lines that end with CRLF, visible ASCII characters, exactly one Host, and no body.
func (r Rule) Next(held []byte) (length int, verdict Verdict) {
	end := bytes.Index(held, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, Incomplete
	}
	length = end + len("\r\n\r\n")
	host, target, ok := parse(string(held[:end]))
	if !ok || int64(length) > r.HeadBytes || !r.Repeatable(host, target) {
		return 0, Waits
	}
	return length, Starts
}

// parse returns the host and the target of a head without its last two line ends. ok is false
// if the request must not start before the responses before it.
func parse(head string) (host, target string, ok bool) {
	lines := strings.Split(head, "\r\n")
	method, rest, _ := strings.Cut(lines[0], " ")
	target, version, _ := strings.Cut(rest, " ")
	if !isMethod(method) || version != "HTTP/1.1" || !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") || !isVisible(target, "") {
		return "", "", false
	}
	hosts := 0
	for _, line := range lines[1:] {
		name, value, colon := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !colon || !isToken(name) || !isVisible(value, " \t") {
			return "", "", false
		}
		switch strings.ToLower(name) {
		case "host":
			hosts, host = hosts+1, value
		case "content-length":
			if value != "0" {
				return "", "", false
			}
		case "connection":
			if !strings.EqualFold(value, "keep-alive") {
				return "", "", false
			}
		case "transfer-encoding", "expect", "upgrade", "trailer", "http2-settings":
			return "", "", false
		}
	}
	return host, target, hosts == 1 && isHost(host)
}

// BodyBytes returns the length of the body that follows a head. ok is false if the head does
// not state it with certainty.
func BodyBytes(head []byte) (length int64, ok bool) {
	stated := false
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == len("Transfer-Encoding") && strings.EqualFold(string(name), "Transfer-Encoding"):
			return 0, false
		case len(name) == len("Content-Length") && strings.EqualFold(string(name), "Content-Length"):
			// net/http accepts the same value more than once.
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			if err != nil || stated {
				return 0, false
			}
			length, stated = int64(n), true
		}
	}
	return length, true
}

func isMethod(s string) bool {
	for _, c := range []byte(s) {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return s != "" && s != "CONNECT" && s != "PRI"
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !isAlphanumeric(c) && c != '-' && c != '_' {
			return false
		}
	}
	return s != ""
}

func isHost(s string) bool {
	for _, c := range []byte(s) {
		if !isAlphanumeric(c) && !strings.ContainsRune("-_.:[]", rune(c)) {
			return false
		}
	}
	return s != ""
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// isVisible reports whether a text consists of visible ASCII characters and of others that are
// allowed.
func isVisible(s, others string) bool {
	for _, c := range []byte(s) {
		if (c <= ' ' || c > '~') && strings.IndexByte(others, c) < 0 {
			return false
		}
	}
	return true
}
