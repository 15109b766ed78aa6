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

// FindingsError lists all findings about a settings file.
type FindingsError []api.Finding

// Error implements error. The message has one line for each finding.
func (e FindingsError) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadEntry reads the settings of an entry.
func LoadEntry(path string) (*Entry, error) { return load[Entry](path) }

// LoadGateway reads the settings of an entry of package gateway.
func LoadGateway(path string) (*Gateway, error) { return load[Gateway](path) }

// LoadSidecar reads the settings of a sidecar.
func LoadSidecar(path string) (*Sidecar, error) { return load[Sidecar](path) }

// LoadPlatform reads the settings of the stand-in platform.
func LoadPlatform(path string) (*Platform, error) { return load[Platform](path) }

// LoadEngine reads the settings of a stand-in engine.
func LoadEngine(path string) (*Engine, error) { return load[Engine](path) }

func load[T any, P interface {
	*T
	document
}](path string) (*T, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, FindingsError{{File: path, Message: err.Error()}}
	}
	value := new(T)
	if err := decode(b, value); err != nil {
		return nil, FindingsError{locateFinding(path, b, err)}
	}
	f := &findings{file: path}
	P(value).check(f)
	if len(f.list) > 0 {
		return nil, FindingsError(f.list)
	}
	return value, nil
}

// decode decodes b, which must be a single JSON document without unknown fields.
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

// embeddedFieldPrefix is the prefix that the decoder gives to fields of the
// embedded Process, which are top-level fields in the file.
const embeddedFieldPrefix = "Process."

// locateFinding converts a decoding error into a finding with the line and, for a
// value of the wrong type, the JSON pointer of the field.
func locateFinding(path string, b []byte, err error) api.Finding {
	finding := api.Finding{File: path, Message: err.Error()}
	var decodeErr *decodeError
	if errors.As(err, &decodeErr) {
		offset := min(int(decodeErr.offset), len(b))
		finding.Line = 1 + bytes.Count(b[:offset], []byte("\n"))
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(decodeErr.err, &mismatch) {
		finding.Pointer = "/" + strings.ReplaceAll(strings.TrimPrefix(mismatch.Field, embeddedFieldPrefix), ".", "/")
		finding.Message = fmt.Sprintf("%s cannot be read as %s", mismatch.Value, mismatch.Type)
	}
	return finding
}
