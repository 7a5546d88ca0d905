package examples_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/examples"
	"github.com/lacewingslip/lacewingslip/settings"
)

// Guards against invalid settings trees in the examples, which users copy.
func TestExamplesAreValid(t *testing.T) {
	cases := map[string]struct {
		read     func() (settings.File, []settings.File, error)
		services int
	}{
		"tesfaye":     {examples.Tesfaye, 4},
		"association": {examples.Association, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			root, branches, err := tc.read()
			must.NoError(t, err)
			tree, err := settings.Parse(root, branches...)
			must.NoError(t, err)
			must.Len(t, tc.services, tree.Services())
		})
	}
}
