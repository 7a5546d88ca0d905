package command

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const explainLog = `   2.1 node-b {"time":"2026-12-04T10:00:02Z","msg":"callNotRun","node":"b","request":"r.child","expiresMs":5001,"reason":"overloaded"}
   3.0 node-b {"time":"2026-12-04T10:00:03Z","msg":"callFailed","node":"b","request":"r","expiresMs":5000,"status":500}
{"time":"2026-12-04T10:00:01Z","msg":"callNotRun","node":"c","request":"other","expiresMs":5000}
not a line of a node
{"time":"2026-12-04T10:00:02Z","msg":"callNotRun","node":"b","request":"late","expiresMs":5900}
{"time":"2026-12-04T10:00:04Z","msg":"callFailed","node":"a","request":"r","status":500}
`

// Guards against failed calls that are not found by the ID of the request that
// caused them. No log line holds the IDs of both.
func TestExplain(t *testing.T) {
	lines, err := readLog(strings.NewReader(explainLog), nil)
	must.NoError(t, err)
	var out strings.Builder
	must.NoError(t, explain(&out, "r", lines))
	var marks []string
	for line := range strings.Lines(out.String()) {
		mark, text, _ := strings.Cut(line, " ")
		node := text[strings.Index(text, `"node":"`)+8:]
		marks = append(marks, mark+" "+node[:1])
	}
	must.Eq(t, []string{"call b", "request b", "request a"}, marks)
}

func TestExplainUnknownRequest(t *testing.T) {
	err := explain(&strings.Builder{}, "nobody", nil)
	must.ErrorContains(t, err, "nobody")
}
