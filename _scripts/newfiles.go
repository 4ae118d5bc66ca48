package main

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// newFiles is a file system without the files that the journal has already.
type newFiles struct{ fs.FS }

// ReadDir lists the directories and the new files.
func (n newFiles) ReadDir(name string) ([]fs.DirEntry, error) {
	entries, err := fs.ReadDir(n.FS, name)
	var out []fs.DirEntry
	for _, e := range entries {
		_, statErr := os.Stat(filepath.Join("journal", name, e.Name()))
		if e.IsDir() || errors.Is(statErr, fs.ErrNotExist) {
			out = append(out, e)
		}
	}
	return out, err
}
