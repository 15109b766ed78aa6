package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"dandelionrelay/api"
)

// FindingsError says what is wrong with a settings file, all at once.
type FindingsError []api.Finding

// Error implements error, a line for each finding.
func (e FindingsError) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadEntry reads the settings of an entry.
func LoadEntry(path string) (*Entry, error) { return load[Entry](path) }

// LoadGateway reads the settings of an entry with providers.
func LoadGateway(path string) (*Gateway, error) { return load[Gateway](path) }

// LoadSidecar reads the settings of a sidecar.
func LoadSidecar(path string) (*Sidecar, error) { return load[Sidecar](path) }

// LoadPlatform reads the settings of the stand-in platform.
func LoadPlatform(path string) (*Platform, error) { return load[Platform](path) }

// LoadEngine reads the settings of a stand-in engine.
func LoadEngine(path string) (*Engine, error) { return load[Engine](path) }

func load[T any, P interface {
	*T
	checker
}](path string) (*T, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, FindingsError{{File: path, Message: err.Error()}}
	}
	value := new(T)
	if err := decode(b, value); err != nil {
		return nil, FindingsError{place(path, b, err)}
	}
	f := &findings{file: path}
	P(value).check(f)
	if len(f.list) > 0 {
		return nil, FindingsError(f.list)
	}
	return value, nil
}

// decode reads one JSON document and refuses unknown fields.
func decode(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &decodeError{err: err, offset: d.InputOffset()}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &decodeError{err: errors.New("more than one document"), offset: d.InputOffset()}
	}
	return nil
}

type decodeError struct {
	err    error
	offset int64 // bytes from the start of the file
}

func (e *decodeError) Error() string { return e.err.Error() }

// embedded is how the decoder names the fields of Process, which the file has
// at its top.
const embedded = "Process."

// place turns a decoding error into a finding with its line.
func place(path string, b []byte, err error) api.Finding {
	finding := api.Finding{File: path, Message: err.Error()}
	var at *decodeError
	if errors.As(err, &at) {
		offset := min(int(at.offset), len(b))
		finding.Line = 1 + bytes.Count(b[:offset], []byte("\n"))
	}
	var kind *json.UnmarshalTypeError
	if errors.As(at.err, &kind) {
		finding.Pointer = "/" + strings.ReplaceAll(strings.TrimPrefix(kind.Field, embedded), ".", "/")
		finding.Message = fmt.Sprintf("%s cannot be read as %s", kind.Value, kind.Type)
	}
	return finding
}
