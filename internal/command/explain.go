package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const (
	// sameExpiryMs is how far the expiry of a call may lie from that of the
	// request that made it: both are stated in whole milliseconds, and the call
	// is on its way for up to one.
	sameExpiryMs = 2
	// maxLogLine bounds one line of a log in bytes.
	maxLogLine = 1 << 20
)

// logLine is what explain needs of a node's log line.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	// ExpiresMs is when the caller of the request stops waiting, by the node's
	// clock.
	ExpiresMs int64 `json:"expiresMs"`
	text      string
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from the logs of nodes what happened to one request",
		ArgsUsage: "ID FILE...",
		Description: `Merges the logs of several nodes and prints the lines about the request in
order of time. Calls carry no link to the request that made them, but they
expire with it: lines about other requests that expire at the same moment at a
node on the request's way are printed too, marked with "call".

A line may begin with anything before its JSON object. FILE - is the standard
input. Exit code 3 if no line is about the request.`,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return cli.Exit("explain needs the ID of a request and one file or more", ExitUsage)
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			return explain(c.Root().Writer, c.Args().First(), lines)
		},
	}
}

func readLogs(paths []string) (lines []logLine, err error) {
	for _, path := range paths {
		file := os.Stdin
		if path != "-" {
			if file, err = os.Open(path); err != nil {
				return nil, eris.Wrap(err, "read log")
			}
			defer file.Close()
		}
		if lines, err = readLog(file, lines); err != nil {
			return nil, eris.Wrapf(err, "read log %s", path)
		}
	}
	return lines, nil
}

// readLog appends the lines that hold an event. Others are not a node's.
func readLog(r io.Reader, lines []logLine) (all []logLine, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal([]byte(text[begin:]), &line) != nil || line.Message == "" {
			continue
		}
		line.text = text[begin:]
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// explain prints the lines about the request and about calls that expire with
// it.
func explain(w io.Writer, id string, lines []logLine) (err error) {
	expiries := make(map[string][]int64)
	for _, line := range lines {
		if line.Request == id && line.ExpiresMs != 0 {
			expiries[line.Node] = append(expiries[line.Node], line.ExpiresMs)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	found := false
	for _, line := range lines {
		var mark string
		switch {
		case line.Request == id:
			mark, found = "request", true
		case line.Request != "" && expiresWith(expiries[line.Node], line.ExpiresMs):
			mark = "call"
		default:
			continue
		}
		if _, err = fmt.Fprintf(w, "%-7s %s\n", mark, line.text); err != nil {
			return err
		}
	}
	if !found {
		return cli.Exit(fmt.Sprintf("no line is about request %q; lines over the limit of their event are left out and counted in the attribute omitted", id), ExitProblem)
	}
	return nil
}

func expiresWith(expiries []int64, at int64) bool {
	return slices.ContainsFunc(expiries, func(expiry int64) bool {
		return at != 0 && at-expiry <= sameExpiryMs && expiry-at <= sameExpiryMs
	})
}
