package config

import (
	"errors"
	"os"
	"path/filepath"

	"dandelionrelay/api"
)

// LoadDir parses all *.json files of a directory as one desired state. It
// returns every finding with its file, line and JSON pointer; the state is
// usable only if there are none.
func LoadDir(dir string) (*State, []api.Finding) {
	files, findings := ReadDir(dir)
	if files == nil {
		return nil, findings
	}
	state, more := LoadFiles(files)
	return state, append(findings, more...)
}

// ReadDir reads the *.json files of a directory and returns their contents by
// file name. The map is nil if there are none.
func ReadDir(dir string) (map[string][]byte, []api.Finding) {
	if _, err := os.ReadDir(dir); err != nil {
		return nil, []api.Finding{{File: dir, Message: errors.Unwrap(err).Error()}}
	}
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil || len(names) == 0 {
		return nil, []api.Finding{{File: dir, Message: "no *.json files found"}}
	}
	files := make(map[string][]byte, len(names))
	var findings []api.Finding
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			findings = append(findings, api.Finding{File: filepath.Base(name), Message: err.Error()})
			continue
		}
		files[filepath.Base(name)] = b
	}
	return files, findings
}
