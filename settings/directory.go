package settings

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

const fileExtension = ".yaml"

// ReadDirectory reads the files of a settings tree: root.yaml and one file with
// the extension .yaml per team. It ignores files with other extensions.
func ReadDirectory(directory string) (root File, branches []File, err error) {
	defer func() { err = eris.Wrapf(err, "read settings from directory %q", directory) }()
	root.Name = filepath.Join(directory, RootBranch+fileExtension)
	if root.Text, err = os.ReadFile(root.Name); err != nil {
		return File{}, nil, err
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		return File{}, nil, err
	}
	for _, entry := range entries {
		name := filepath.Join(directory, entry.Name())
		if entry.IsDir() || !strings.HasSuffix(name, fileExtension) || name == root.Name {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return File{}, nil, err
		}
		branches = append(branches, File{Name: name, Text: text})
	}
	return root, branches, nil
}
