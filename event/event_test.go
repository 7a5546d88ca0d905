package event_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/event"
)

// Guards against a log line or a timeline entry that operators can't look up.
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

// Guards against events in the catalogue that no package records.
func TestCatalogueIsRecorded(t *testing.T) {
	var code strings.Builder
	must.NoError(t, filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	}))
	for _, e := range event.Catalogue() {
		constant := "event." + strings.ToUpper(e.Name[:1]) + e.Name[1:]
		must.RegexMatch(t, regexp.MustCompile(regexp.QuoteMeta(constant)+`\b`), code.String(), must.Sprintf("%s is recorded nowhere", constant))
	}
}
