package config

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// keysFile is the name of the file to which new keys are written.
const keysFile = "keys.json"

// SetKey writes a key to the configuration files of a directory: to the file
// that already contains it, or else to keys.json. The other entries of that
// file keep their content and are sorted by ID.
func SetKey(dir, id string, key Key) error {
	files, _ := ReadDir(dir)
	name := keysFile
	for candidate, b := range files {
		if hasKey(b, id) {
			name = candidate
		}
	}
	doc, err := parseSections(files[name])
	if err != nil {
		return err
	}
	entry, err := json.Marshal(key)
	if err != nil {
		return err
	}
	if doc["keys"] == nil {
		doc["keys"] = make(map[string]json.RawMessage)
	}
	doc["keys"][id] = entry
	b, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, name), append(b, '\n'))
}

// sections is a configuration file whose entries are not decoded:
// section -> ID -> entry.
type sections map[string]map[string]json.RawMessage

func parseSections(b []byte) (sections, error) {
	doc := make(sections)
	if b == nil {
		return doc, nil
	}
	return doc, json.Unmarshal(b, &doc)
}

func hasKey(b []byte, id string) bool {
	doc, err := parseSections(b)
	return err == nil && doc["keys"][id] != nil
}

// replaceFile replaces the content of a file atomically.
func replaceFile(path string, b []byte) error {
	temp, err := os.CreateTemp(filepath.Dir(path), ".keys-*")
	if err != nil {
		return err
	}
	defer os.Remove(temp.Name())
	if _, err := temp.Write(b); err != nil {
		_ = temp.Close()
		return err
	}
	if err := temp.Chmod(0o644); err != nil {
		_ = temp.Close()
		return err
	}
	if err := temp.Close(); err != nil {
		return err
	}
	return os.Rename(temp.Name(), path)
}
