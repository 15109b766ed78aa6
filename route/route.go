// Package route resolves the route and the deployment of a call.
package route

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"path"
	"strings"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/ingress"
	"dandelionrelay/pipeline"
)

// Paths of calls that are routed by the model named in their body.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Filter returns the filter that sets RouteID, Route, Deployment, Deadline
// and, for model deployments, Chat. It needs Snapshot, Received and Body.
func Filter() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if err := resolve(c); err != nil {
				return err
			}
			return next(ctx, c)
		}
	}
}

func resolve(c *pipeline.Call) *api.Error {
	var ok bool
	switch p := c.R.URL.Path; {
	case p == PathChat || p == PathCompletions:
		if err := parseChat(c); err != nil {
			return err
		}
		c.RouteID, c.Route, ok = c.Snapshot.RouteByModel(c.Chat.Model)
		if !ok {
			return routeNotFound(fmt.Sprintf("no route for model %q", c.Chat.Model))
		}
	case !isCanonicalPath(p):
		return badRequest("the path must not hold empty, . or .. segments")
	default:
		c.RouteID, c.Route, ok = c.Snapshot.RouteByPath(p)
		if !ok {
			return routeNotFound(fmt.Sprintf("no route for path %q", p))
		}
	}
	c.Deployment = c.Snapshot.State.Deployments[c.Route.Deployment]
	c.Deadline = c.Received.Add(timeout(c.Route))
	return nil
}

// isCanonicalPath reports whether p holds no empty, . or .. segments, so that
// entries and endpoints can't interpret it differently. One trailing slash is
// allowed.
func isCanonicalPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

func timeout(r config.Route) time.Duration {
	if r.Timeout == 0 {
		return config.DefaultTimeout
	}
	return time.Duration(r.Timeout)
}

// messageBytes is the memory of a decoded message of a chat beside its texts.
const messageBytes = 64

// parseChat parses and checks the body of a chat or completions call.
func parseChat(c *pipeline.Call) *api.Error {
	if c.R.Method != http.MethodPost {
		return api.NewError(http.StatusMethodNotAllowed, api.CodeBadRequest, "use POST")
	}
	if t := c.R.Header.Get("Content-Type"); t != "" {
		if media, _, err := mime.ParseMediaType(t); err != nil || media != "application/json" {
			return api.NewError(http.StatusUnsupportedMediaType, api.CodeBadRequest,
				"the content type must be application/json")
		}
	}
	messages := int64(bytes.Count(c.Body, []byte{'{'}))
	if refusal := ingress.BodyError(ingress.Reserve(c.R.Context(), messageBytes*messages)); refusal != nil {
		return refusal
	}
	chat := new(api.ChatRequest)
	if err := json.Unmarshal(c.Body, chat); err != nil {
		return badRequest(jsonErrorMessage(err))
	}
	if chat.Model == "" {
		return badRequest(`the field "model" is missing`)
	}
	if chat.MaxTokens < 0 {
		return badRequest(`"max_tokens" must not be negative`)
	}
	if c.R.URL.Path == PathChat && len(chat.Messages) == 0 {
		return badRequest(`the field "messages" is missing or empty`)
	}
	c.Chat = chat
	return nil
}

// jsonErrorMessage describes a JSON error with the byte offset or the field where
// it occurred.
func jsonErrorMessage(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("the body is not valid JSON: %v at byte %d", syntax, syntax.Offset)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fmt.Sprintf("the field %q must be of another type than %s", mismatch.Field, mismatch.Value)
	}
	return "the body is not valid JSON: " + err.Error()
}

func badRequest(message string) *api.Error {
	return api.NewError(http.StatusBadRequest, api.CodeBadRequest, message)
}

func routeNotFound(message string) *api.Error {
	return api.NewError(http.StatusNotFound, api.CodeNoRoute, message)
}
