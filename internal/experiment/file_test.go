package experiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/experiment"
)

// Guards against changes of the file format that the files in experiments/ do not
// follow.
func TestFiles(t *testing.T) {
	paths, err := filepath.Glob("../../experiments/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		f, err := experiment.LoadFile(path)
		must.NoError(t, err)
		must.EqOp(t, strings.TrimSuffix(filepath.Base(path), ".yaml"), f.Name)
	}
}

// Guards against experiments that run although a misspelt field or name was ignored.
func TestFileErrors(t *testing.T) {
	good := "name: n\ntimeout: 1s\nregions: [r]\nservices: {s: {slots: 1}}\ncapacity: s\n" +
		"classes: [{name: c, service: s, importance: low, weight: 1}]\nphases: [{name: a}, {name: b}]\n"
	for name, c := range map[string]struct{ text, problem string }{
		"good":       {good, ""},
		"field":      {good + "colour: red\n", "field colour not found"},
		"contestant": {good + "contestants: [x]\n", `contestant "x" is not one of`},
		"service":    {strings.Replace(good, "service: s", "service: x", 1), `class c: service "x" is not defined under services`},
		"importance": {strings.Replace(good, "low", "x", 1), `class c: importance "x" is not one of`},
		"phases":     {strings.Replace(good, ", {name: b}", "", 1), "at least two phases are required"},
	} {
		path := filepath.Join(t.TempDir(), "e.yaml")
		must.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		_, err := experiment.LoadFile(path)
		if c.problem == "" {
			must.NoError(t, err, must.Sprint(name))
			continue
		}
		must.ErrorContains(t, err, c.problem, must.Sprint(name))
	}
}
