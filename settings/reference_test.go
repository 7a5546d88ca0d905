package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against a settings key that is missing from the reference page.
func TestReferenceListsKeys(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "operate", "settings.md"))
	must.NoError(t, err)
	_, err = Parse(testRoot("    x: 1\nx: 1\ndefaults: {x: 1}\n"), testBranch("{x: 1, routes: [{x: 1}]}"))
	must.Error(t, err)
	expected := regexp.MustCompile(`unknown key "x" in [^;]*; expected ([^;\n]*)`).FindAllStringSubmatch(err.Error(), -1)
	must.Len(t, 5, expected)
	for _, match := range expected {
		for _, key := range regexp.MustCompile(`, | or `).Split(match[1], -1) {
			test.RegexMatch(t, regexp.MustCompile("`([A-Za-z]+\\.)*"+key+"[.`]"), string(page), test.Sprintf("key %s", key))
		}
	}
}
