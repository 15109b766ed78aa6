package config

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"dandelionrelay/api"
)

// position is the file and line of an entry or field in the input.
type position struct {
	file string
	line int
}

// loader collects the entries of all files with their positions.
type loader struct {
	state     *State
	positions map[string]position // by JSON pointer of an entry or field
	findings  []api.Finding
	file      string
	data      []byte
}

// LoadFiles parses files, a map from name to content, as one desired state and
// validates it. It returns every finding; the state is usable only if there are
// none.
func LoadFiles(files map[string][]byte) (*State, []api.Finding) {
	state, _, findings := LoadFilesWithPositions(files)
	return state, findings
}

// LoadFilesWithPositions is like LoadFiles and also returns the positions of
// the entries in the files.
func LoadFilesWithPositions(files map[string][]byte) (*State, *Positions, []api.Finding) {
	l := &loader{
		state: &State{
			Customers:   make(map[string]Customer),
			Keys:        make(map[string]Key),
			Routes:      make(map[string]Route),
			Deployments: make(map[string]Deployment),
		},
		positions: make(map[string]position),
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		l.file = name
		l.data = files[name]
		l.readFile()
	}
	l.findings = append(l.findings, l.validate()...)
	return l.state, &Positions{l.positions}, l.findings
}

// readFile parses the current file: a JSON object with some of the sections.
func (l *loader) readFile() {
	dec := json.NewDecoder(bytes.NewReader(l.data))
	err := l.object(dec, "", func(section, pointer string, line int) error {
		switch section {
		case "customers":
			return readSection(l, dec, pointer, l.state.Customers)
		case "keys":
			return readSection(l, dec, pointer, l.state.Keys)
		case "routes":
			return readSection(l, dec, pointer, l.state.Routes)
		case "deployments":
			return readSection(l, dec, pointer, l.state.Deployments)
		}
		if section == "evacuations" {
			l.addFinding(line, pointer, "evacuations are not part of the files; use dandelionrelay evacuate")
			var skipped json.RawMessage
			return dec.Decode(&skipped)
		}
		l.addFinding(line, pointer, "unknown section "+strconv.Quote(section)+"; known are customers, keys, routes, deployments")
		var skipped json.RawMessage
		return dec.Decode(&skipped)
	})
	if err != nil {
		l.addFinding(l.lineAt(syntaxOffset(err, dec.InputOffset())), "", "not valid JSON: "+err.Error())
		return
	}
	if _, err := dec.Token(); err != io.EOF {
		l.addFinding(l.lineAt(dec.InputOffset()), "", "more than one JSON document in the file")
	}
}

// object calls member for each member of a JSON object; member must read the
// value from dec.
func (l *loader) object(dec *json.Decoder, pointer string, member func(name, pointer string, line int) error) error {
	line := l.nextLine(dec)
	open, err := dec.Token()
	if err != nil {
		return err
	}
	if open != json.Delim('{') {
		l.addFinding(line, pointer, "must be a JSON object")
		return l.skip(dec, open)
	}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		line := l.lineAt(dec.InputOffset())
		if err := member(name, pointer+"/"+escapePointer(name), line); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}

// skip discards the rest of the value whose first token was read.
func (l *loader) skip(dec *json.Decoder, first json.Token) error {
	depth := 0
	token := first
	for {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		next, err := dec.Token()
		if err != nil {
			return err
		}
		token = next
	}
}

// readSection parses the entries of one section.
func readSection[T any](l *loader, dec *json.Decoder, pointer string, into map[string]T) error {
	return l.object(dec, pointer, func(id, pointer string, line int) error {
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return err
		}
		start := dec.InputOffset() - int64(len(raw))
		if first, duplicate := l.positions[pointer]; duplicate {
			l.addFinding(line, pointer, "defined twice; first in "+first.file+" line "+strconv.Itoa(first.line))
			return nil
		}
		l.positions[pointer] = position{file: l.file, line: line}
		if id == "" {
			l.addFinding(line, pointer, "the id must not be empty")
		}
		var entry T
		l.readEntry(raw, start, pointer, &entry)
		into[id] = entry
		return nil
	})
}

// readEntry decodes one entry field by field, so that every invalid field is
// reported, not only the first. start is the byte offset of raw in the file.
func (l *loader) readEntry(raw json.RawMessage, start int64, pointer string, entry any) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	known := fieldNames(entry)
	seen := make(map[string]bool)
	err := l.fields(dec, func(name string, value json.RawMessage, end int64) {
		line := l.lineAt(start + end - int64(len(value)))
		at := pointer + "/" + escapePointer(name)
		l.positions[at] = position{file: l.file, line: line}
		if seen[name] {
			l.addFinding(line, at, "field given twice")
		}
		seen[name] = true
		if !slices.Contains(known, name) {
			l.addFinding(line, at, "unknown field "+strconv.Quote(name)+"; known are "+strings.Join(known, ", "))
			return
		}
		field, _ := json.Marshal(map[string]json.RawMessage{name: value})
		if err := json.Unmarshal(field, entry); err != nil {
			l.addFinding(line, at, strings.TrimPrefix(err.Error(), "json: "))
		}
	})
	if err != nil {
		l.addFinding(l.lineAt(start), pointer, "must be a JSON object")
	}
}

// fields calls f with each member of the object that dec reads; end is the byte
// offset in the input of dec at which the value ends.
func (l *loader) fields(dec *json.Decoder, f func(name string, value json.RawMessage, end int64)) error {
	open, err := dec.Token()
	if err != nil {
		return err
	}
	if open != json.Delim('{') {
		return errNotObject
	}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return err
		}
		f(name, value, dec.InputOffset())
	}
	return nil
}

var errNotObject = Errors.NewType("not_object").NewWithNoMessage()

// fieldNames returns the JSON names of the fields of the struct that entry
// points to.
func fieldNames(entry any) []string {
	t := reflect.TypeOf(entry).Elem()
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func (l *loader) addFinding(line int, pointer, message string) {
	l.findings = append(l.findings, api.Finding{File: l.file, Line: line, Pointer: pointer, Message: message})
}

// nextLine returns the line of the next token, from 1.
func (l *loader) nextLine(dec *json.Decoder) int {
	at := dec.InputOffset()
	for at < int64(len(l.data)) && strings.IndexByte(" \t\r\n:,", l.data[at]) >= 0 {
		at++
	}
	return l.lineAt(at)
}

// lineAt returns the line of a byte offset, from 1.
func (l *loader) lineAt(offset int64) int {
	offset = min(max(offset, 0), int64(len(l.data)))
	return 1 + bytes.Count(l.data[:offset], []byte{'\n'})
}

// syntaxOffset returns the byte offset of a JSON syntax error, or fallback for
// other errors.
func syntaxOffset(err error, fallback int64) int64 {
	if syntax, ok := err.(*json.SyntaxError); ok {
		return syntax.Offset - 1
	}
	return fallback
}

func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
