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

// Server holds the flags of commands that call the administration interface of
// an entry.
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

// servers returns the checked URLs of the entries to call.
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

// call runs f with a client of each server in turn, until an attempt succeeds or
// fails with an error that other entries would return as well.
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
		if !shouldTryNextServer(err) {
			break
		}
	}
	return adminExitError(env, err)
}

// shouldTryNextServer reports whether another entry may succeed after err: the
// entry was unreachable, got no verdict from the log in time, does not know the base
// version of the change or the configuration yet, or could not list all jobs.
func shouldTryNextServer(err error) bool {
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return apiErr.Code == admin.CodeIndeterminate || apiErr.Code == admin.CodeBadBase || apiErr.Code == api.CodeLogDown
	}
	return errorx.IsOfType(err, admin.Unreachable)
}

// adminExitError prints the findings of an error of the administration interface
// and returns the error with its exit code.
func adminExitError(env *Env, err error) error {
	if err == nil {
		return nil
	}
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		return errors.New(userMessage(err))
	}
	printFindings(env, apiErr.Findings)
	message := errors.New(apiErr.Message)
	switch apiErr.Code {
	case admin.CodeFindings:
		return &exitError{ExitFindings, errors.New(countNoun(len(apiErr.Findings), "finding"))}
	case api.CodeConflict, admin.CodeBadBase:
		return &exitError{ExitConflict, message}
	case admin.CodeIndeterminate:
		return &exitError{ExitIndeterminate, message}
	case admin.CodeUnauthorized:
		return fmt.Errorf("%w (it is read from --token-file or %s)", message, tokenVariable)
	}
	return message
}

// userMessage returns the message of err and of its cause, without the names of
// error types and without the method and URL of an HTTP request.
func userMessage(err error) string {
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

// printFindings prints one finding per line to stderr.
func printFindings(env *Env, findings []api.Finding) {
	for _, f := range findings {
		fmt.Fprintln(env.Stderr, f.String())
	}
}

// findingsError prints the findings and returns an error with ExitFindings, or nil
// if there are no findings.
func findingsError(env *Env, findings []api.Finding) error {
	if len(findings) == 0 {
		return nil
	}
	printFindings(env, findings)
	return &exitError{ExitFindings, errors.New(countNoun(len(findings), "finding"))}
}

// readFiles returns the text of the configuration files in dir by file name.
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

// printJSON prints v as indented JSON to stdout.
func printJSON(env *Env, v any) error {
	e := json.NewEncoder(env.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
