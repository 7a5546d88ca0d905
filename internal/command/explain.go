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
	// expiryToleranceMs is the largest difference between the expiry of a call
	// and that of the request that caused it. Both are rounded to milliseconds,
	// and the call takes up to 1 ms to arrive.
	expiryToleranceMs = 2
	// maxLogLineBytes bounds the length of one log line.
	maxLogLineBytes = 1 << 20
)

// logLine holds the fields of a node's log line that explain uses.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	// ExpiresMs is the time at which the caller of the request stops waiting, in
	// milliseconds by the node's clock.
	ExpiresMs int64 `json:"expiresMs"`
	raw       string
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to one request, from the logs of nodes",
		ArgsUsage: "ID FILE...",
		Description: `Merges the logs of several nodes and prints the lines about the request in
order of time. Calls do not carry the ID of the request that caused them, but
expire at the same time: lines about other requests that expire at the same time
on a node that the request passed are printed as well, marked with "call".

Text before the JSON object of a line is ignored. The FILE - is standard input.
Exit code 3 means that no line is about the request.`,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return cli.Exit("expected the ID of a request and at least one log file", ExitUsage)
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

// readLog appends the lines that hold an event. It skips other lines, which are
// not written by a node.
func readLog(r io.Reader, lines []logLine) (all []logLine, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
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
		line.raw = text[begin:]
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// explain prints the lines about the request and about the calls that expire at
// the same time.
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
		if _, err = fmt.Fprintf(w, "%-7s %s\n", mark, line.raw); err != nil {
			return err
		}
	}
	if !found {
		return cli.Exit(fmt.Sprintf("no log line is about request %q; nodes limit the lines per event and count the omitted ones in the attribute omitted", id), ExitProblem)
	}
	return nil
}

func expiresWith(expiries []int64, expiresMs int64) bool {
	return slices.ContainsFunc(expiries, func(expiry int64) bool {
		return expiresMs != 0 && expiresMs-expiry <= expiryToleranceMs && expiry-expiresMs <= expiryToleranceMs
	})
}
