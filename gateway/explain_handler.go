package gateway

import (
	"crypto/subtle"
	"net/http"
	"net/url"
	"strings"
	"time"

	"dandelionrelay/admin"
	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/explain"
)

// RegisterExplain registers the handler of operators' questions with mux, if the settings
// have the digest of a token for them.
func (g *Gateway) RegisterExplain(mux *http.ServeMux) {
	if g.Settings.OperatorTokenDigest != "" {
		mux.HandleFunc("GET "+explain.Path, g.serveExplain)
	}
}

func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	if !g.isOperator(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		api.WriteError(w, api.NewError(http.StatusUnauthorized, admin.CodeUnauthorized,
			"this interface needs the operator's token: Authorization: Bearer TOKEN"))
		return
	}
	q, err := parseExplain(r.URL.RawQuery)
	if err != nil {
		api.WriteError(w, err)
		return
	}
	began := time.Now()
	reply, err := g.Explain(q)
	g.logExplained(q, reply, err, time.Since(began))
	if err != nil {
		api.WriteError(w, err)
		return
	}
	api.WriteJSON(w, http.StatusOK, reply)
}

// isOperator reports whether a request has the operator's token.
func (g *Gateway) isOperator(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := authn.Digest(strings.TrimSpace(token))
	return ok && subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(g.Settings.OperatorTokenDigest))) == 1
}

func parseExplain(raw string) (explain.Query, *api.Error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return explain.Query{}, badQuery("the query can't be read: %s", err)
	}
	q, err := explain.ParseQuery(values)
	if err != nil {
		return explain.Query{}, badQuery("%s", err)
	}
	return q, nil
}
