package api

import (
	"bytes"
	"encoding/json"
)

// IsErrorEvent reports whether a server-sent event of a chat stream is an error of the engine
// and no part of the text: its type is error, or its data is an object with an error.
func IsErrorEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, value, ok := bytes.Cut(bytes.TrimSpace(line), []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case !ok:
		case string(name) == "event" && string(value) == "error":
			return true
		case string(name) == "data" && holdsError(value):
			return true
		}
	}
	return false
}

// errorField is looked for before a chunk is parsed, as most chunks lack it.
var errorField = []byte(`"error"`)

func holdsError(data []byte) bool {
	if !bytes.Contains(data, errorField) {
		return false
	}
	var chunk struct {
		Error json.RawMessage `json:"error"`
	}
	return json.Unmarshal(data, &chunk) == nil && len(chunk.Error) > 0 && string(chunk.Error) != "null"
}
