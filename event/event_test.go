package event_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/event"
)

// Guards against a log line or time line entry that an operator can't look up.
func TestPageListsCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	must.NoError(t, err)
	var listed, want []string
	for line := range strings.Lines(string(page)) {
		if regexp.MustCompile(`^\| \d`).MatchString(line) {
			listed = append(listed, strings.TrimSpace(line))
		}
	}
	for _, e := range event.Catalogue() {
		want = append(want, fmt.Sprintf("| %d | `%s` | %s | %s |", int(e.ID), e.Name, strings.ToLower(e.Level.String()), e.Meaning))
	}
	must.Eq(t, want, listed)
}
