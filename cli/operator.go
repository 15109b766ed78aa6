package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/joomcode/errorx"

	"dandelionrelay/admin"
	"dandelionrelay/api"
	"dandelionrelay/config"
)

// tokenVariable is the environment variable that may hold the operator's
// token.
const tokenVariable = "DANDELIONRELAY_TOKEN"

// Server is the flags with which a verb finds an entry's administration
// interface.
type Server struct {
	Server    []string `env:"DANDELIONRELAY_SERVER" placeholder:"URL" help:"Operations address of an entry, http://ip:port; more than one, separated by commas, are tried in order."`
	TokenFile string   `type:"path" placeholder:"FILE" help:"File with the operator's token; without it the variable DANDELIONRELAY_TOKEN is read."`
}

// token returns the operator's token.
func (s *Server) token() (string, error) {
	if s.TokenFile == "" {
		token := os.Getenv(tokenVariable)
		if token == "" {
			return "", &exitError{ExitUsage, errors.New("no operator token: set " + tokenVariable + " or --token-file")}
		}
		return token, nil
	}
	b, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return "", &exitError{ExitUsage, fmt.Errorf("operator token: %w", err)}
	}
	token := strings.TrimSpace(string(b))
	if token == "" {
		return "", &exitError{ExitUsage, fmt.Errorf("operator token: %s is empty", s.TokenFile)}
	}
	return token, nil
}

// servers returns the entries to ask.
func (s *Server) servers() ([]string, error) {
	if len(s.Server) == 0 {
		return nil, &exitError{ExitUsage, errors.New("no entry to ask: set --server or DANDELIONRELAY_SERVER")}
	}
	for _, text := range s.Server {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, &exitError{ExitUsage, fmt.Errorf("--server must be http://ip:port, not %q", text)}
		}
	}
	return s.Server, nil
}

// call runs f with a client of each server in turn until one answers.
func (s *Server) call(env *Env, f func(ctx context.Context, c *admin.Client) error) error {
	token, err := s.token()
	if err != nil {
		return err
	}
	servers, err := s.servers()
	if err != nil {
		return err
	}
	for _, url := range servers {
		err = f(env.Ctx, &admin.Client{URL: url, Token: token})
		if !tryNext(err) {
			break
		}
	}
	return operatorExit(env, err)
}

// tryNext reports whether another entry may know better.
func tryNext(err error) bool {
	var refusal *api.Error
	if errors.As(err, &refusal) {
		return refusal.Code == admin.CodeIndeterminate || refusal.Code == admin.CodeBadBase || refusal.Code == api.CodeLogDown
	}
	return errorx.IsOfType(err, admin.Unreachable)
}

// operatorExit gives an error of the administration interface its exit code,
// after printing its findings.
func operatorExit(env *Env, err error) error {
	if err == nil {
		return nil
	}
	var refusal *api.Error
	if !errors.As(err, &refusal) {
		return errors.New(plainText(err))
	}
	printFindings(env, refusal.Findings)
	plain := errors.New(refusal.Message)
	switch refusal.Code {
	case admin.CodeFindings:
		return &exitError{ExitFindings, errors.New(count(len(refusal.Findings), "finding"))}
	case api.CodeConflict, admin.CodeBadBase:
		return &exitError{ExitConflict, plain}
	case admin.CodeIndeterminate:
		return &exitError{ExitIndeterminate, plain}
	case admin.CodeUnauthorized:
		return fmt.Errorf("%w (it is read from --token-file or %s)", plain, tokenVariable)
	}
	return plain
}

// plainText words an error for a person: without the names of types, and with
// the innermost cause alone.
func plainText(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	if typed.Cause() == nil {
		return typed.Message()
	}
	cause := typed.Cause()
	var request *url.Error
	if errors.As(cause, &request) {
		cause = request.Err
	}
	return typed.Message() + ": " + cause.Error()
}

func printFindings(env *Env, findings []api.Finding) {
	for _, f := range findings {
		fmt.Fprintln(env.Stderr, f.String())
	}
}

// findingsError prints the findings and returns the error to end with, or nil
// if there are none.
func findingsError(env *Env, findings []api.Finding) error {
	if len(findings) == 0 {
		return nil
	}
	printFindings(env, findings)
	return &exitError{ExitFindings, errors.New(count(len(findings), "finding"))}
}

// readFiles reads a directory for sending it to an entry.
func readFiles(env *Env, dir string) (map[string]string, error) {
	files, findings := config.ReadDir(dir)
	if err := findingsError(env, findings); err != nil {
		return nil, err
	}
	texts := make(map[string]string, len(files))
	for name, b := range files {
		texts[name] = string(b)
	}
	return texts, nil
}

// printJSON prints v for scripts.
func printJSON(env *Env, v any) error {
	e := json.NewEncoder(env.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
