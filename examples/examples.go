// Package examples holds the example settings trees of two organisations.
//
// # Usage
//
//	root, branches, err := examples.Tesfaye()
//	tree, err := settings.Parse(root, branches...)
package examples

import (
	"embed"
	"io/fs"
	"path"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/settings"
)

//go:embed */*.yaml
var files embed.FS

// Tesfaye returns the settings tree of Tesfaye Moulded Fibre Works.
func Tesfaye() (root settings.File, branches []settings.File, err error) { return readTree("tesfaye") }

// Association returns the settings tree of the Taiwan Sidewalk Café Permit Association.
func Association() (root settings.File, branches []settings.File, err error) {
	return readTree("association")
}

func readTree(directory string) (root settings.File, branches []settings.File, err error) {
	defer func() { err = eris.Wrapf(err, "read example tree %q", directory) }()
	entries, err := fs.ReadDir(files, directory)
	if err != nil {
		return settings.File{}, nil, err
	}
	for _, entry := range entries {
		text, err := files.ReadFile(path.Join(directory, entry.Name()))
		if err != nil {
			return settings.File{}, nil, err
		}
		file := settings.File{Name: entry.Name(), Text: text}
		if file.Branch() == settings.RootBranch {
			root = file
			continue
		}
		branches = append(branches, file)
	}
	return root, branches, nil
}
