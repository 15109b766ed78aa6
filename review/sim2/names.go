//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// wireNames holds the names of the platform's protocol that the stand-ins speak.
type wireNames struct {
	Headers struct {
		ID, Deadline, Expect, Signature, Model, Tokens, Parts string

		NotExecuted string `json:"not_executed"`
	}
	Paths  struct{ Append, Read, Newest, Ready, Jobs string }
	Topics struct{ Configuration, Endpoints, Contents string }
}

var names = loadNames()

func loadNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
