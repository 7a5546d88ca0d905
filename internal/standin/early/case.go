package early

import (
	"errors"
	"fmt"
	"net/http"
)

// Case is an answer and what a client must read of it.
type Case struct {
	Answer
	// Status and Body are what a client must read if IsWhole is true. Otherwise it must get an error.
	Status int
	Body   string
	// IsWhole is false if more of the answer may have been lost with the connection.
	IsWhole bool
	// StatesLength is true if the answer states its length or is in chunks.
	StatesLength bool
}

// Check returns an error if a client has not read what the case requires. readErr is the error of
// reading the head or the body of the answer.
func (c Case) Check(status int, body string, readErr error) error {
	switch {
	case !c.IsWhole && readErr == nil:
		return fmt.Errorf("expected an error, got status %d and body %q", status, body)
	case !c.IsWhole:
		return nil
	case readErr != nil || status != c.Status || body != c.Body:
		return errors.Join(readErr, fmt.Errorf("expected status %d and body %q, got %d and %q", c.Status, c.Body, status, body))
	default:
		return nil
	}
}

// Cases returns answers by name whose head has the field lines, each with its line end.
func Cases(fields string) map[string]Case {
	cases := make(map[string]Case)
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for connection, line := range map[string]string{"": "", ", Connection: close": "Connection: close\r\n"} {
			for _, status := range []int{http.StatusOK, http.StatusCreated, http.StatusInternalServerError} {
				head := fmt.Sprintf("%s %d Answer\r\n%s%s", version, status, fields, line)
				for _, body := range []string{"", "body"} {
					for name, c := range casesOfHead(head, body) {
						c.Status, c.Body = status, body
						cases[fmt.Sprintf("%s%s, %d, %q, %s", version, connection, status, body, name)] = c
					}
				}
			}
		}
	}
	return cases
}

// casesOfHead returns the answers that begin with the head.
func casesOfHead(head, body string) map[string]Case {
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	cases := map[string]Case{
		"reset":                   {Answer: Answer{Text: head + "\r\n" + body, End: Reset}},
		"half-closed":             {Answer: Answer{Text: head + "\r\n" + body, End: HalfClose}, IsWhole: true},
		"half-closed, then reset": {Answer: Answer{Text: head + "\r\n" + body, End: HalfCloseAndReset}, IsWhole: true},
		"length, reset":           {Answer: Answer{Text: length, End: Reset}, IsWhole: true, StatesLength: true},
	}
	if body == "" {
		return cases
	}
	for name, end := range map[string]End{"reset": Reset, "half-closed": HalfClose, "half-closed, then reset": HalfCloseAndReset} {
		cases["part of length, "+name] = Case{Answer: Answer{Text: length[:len(length)-1], End: end}, StatesLength: true}
	}
	if head[:len("HTTP/1.1")] == "HTTP/1.1" {
		chunks := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		cases["chunks, reset"] = Case{Answer: Answer{Text: chunks, End: Reset}, IsWhole: true, StatesLength: true}
		cases["part of chunks, reset"] = Case{Answer: Answer{Text: chunks[:len(chunks)-len("0\r\n\r\n")], End: Reset}, StatesLength: true}
	}
	return cases
}
