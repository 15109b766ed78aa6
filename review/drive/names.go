//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the names of the users' protocol.
var names = func() (n struct {
	Attempt        string `json:"attempt"`
	Deadline       string `json:"deadline"`
	ExpectInstance string `json:"expectInstance"`
	ExpectVersion  string `json:"expectVersion"`
	Instance       string `json:"instance"`
	Customer       string `json:"customer"`
	NotExecuted    string `json:"notExecuted"`
	Signature      string `json:"signature"`
	WeightVersions string `json:"weightVersions"`
	LastEvent      string `json:"lastEvent"`
	PromptParts    string `json:"promptParts"`
	TokenUsage     string `json:"tokenUsage"`
	Model          string `json:"model"`
	Wait           string `json:"wait"`
	ReadyPath      string `json:"readyPath"`
	JobPath        string `json:"jobPath"`
	ItemPath       string `json:"itemPath"`
	Customers      string `json:"customers"`
}) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()
