package config

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path"
	"regexp"
	"slices"
	"strings"

	"dandelionrelay/api"
)

// MaxTimeout is the longest timeout that a route may set.
const MaxTimeout = Duration(3600e9)

// IDForm says what ids look like: they go into headers, log lines and metrics.
const IDForm = "1 to 63 letters, digits, dots, dashes or underscores, the first a letter or digit"

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate checks a state that came without files, such as one posted to the
// administration API. Findings carry the JSON pointer only.
func Validate(s *State) []api.Finding {
	l := &loader{state: s}
	return l.validate()
}

// validate checks the meaning of the state as a whole. The findings are in
// the order of files and lines.
func (l *loader) validate() []api.Finding {
	v := &validator{state: l.state, places: l.places}
	v.ids()
	v.customers()
	v.keys()
	v.deployments()
	v.routes()
	v.pathPrefixes()
	slices.SortStableFunc(v.findings, func(a, b api.Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Pointer, b.Pointer))
	})
	return v.findings
}

// validator collects findings on the meaning of a state.
type validator struct {
	state    *State
	places   map[string]place
	findings []api.Finding
}

// add notes a fault of a field of an entry, or of the entry if field is "".
func (v *validator) add(section, id, field, format string, args ...any) {
	entry := "/" + section + "/" + escapePointer(id)
	pointer := entry
	if field != "" {
		pointer += "/" + field
	}
	at, ok := v.places[pointer]
	if !ok {
		at = v.places[entry]
	}
	v.findings = append(v.findings, api.Finding{
		File:    at.file,
		Line:    at.line,
		Pointer: pointer,
		Message: fmt.Sprintf(format, args...),
	})
}

// ValidID reports whether id has the form of the ids of customers, keys,
// deployments and routes.
func ValidID(id string) bool { return idPattern.MatchString(id) }

func (v *validator) ids() {
	checkIDs(v, "customers", v.state.Customers)
	checkIDs(v, "keys", v.state.Keys)
	checkIDs(v, "deployments", v.state.Deployments)
	checkIDs(v, "routes", v.state.Routes)
}

// checkIDs checks the form of the ids of a section.
func checkIDs[T any](v *validator, section string, entries map[string]T) {
	for id := range entries {
		if !ValidID(id) {
			v.add(section, id, "", "the id must be %s, is %q", IDForm, id)
		}
	}
}

func (v *validator) customers() {
	for id, c := range v.state.Customers {
		if bad(c.Rate) || c.Rate <= 0 {
			v.add("customers", id, "rate", "must be more than 0 requests per second, is %g", c.Rate)
		}
		if bad(c.Burst) || c.Burst < 1 {
			v.add("customers", id, "burst", "must be 1 request or more, is %g", c.Burst)
		}
		if bad(c.Weight) || c.Weight < 0 {
			v.add("customers", id, "weight", "must not be negative, is %g", c.Weight)
		}
	}
}

func bad(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

func (v *validator) keys() {
	first := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(v.state.Keys)) {
		k := v.state.Keys[id]
		if _, ok := v.state.Customers[k.Customer]; !ok {
			v.add("keys", id, "customer", "customer %q is not defined", k.Customer)
		}
		if !digestPattern.MatchString(k.Digest) {
			v.add("keys", id, "digest", "must be the SHA-256 digest of the key as 64 lower-case hex digits")
			continue
		}
		if other, twice := first[k.Digest]; twice {
			v.add("keys", id, "digest", "same digest as key %q", other)
			continue
		}
		first[k.Digest] = id
	}
}

func (v *validator) deployments() {
	for id, d := range v.state.Deployments {
		switch d.Kind {
		case KindModel:
			if d.Model == "" {
				v.add("deployments", id, "model", "a model deployment needs the name of its model")
			}
		case KindPlain:
			if d.Model != "" || d.ObeysFencing || d.CanResume || d.FirstTokenRatio != 0 {
				v.add("deployments", id, "kind", "model, obeys_fencing, can_resume and first_token_ratio are for model deployments only")
			}
		default:
			v.add("deployments", id, "kind", "must be %q or %q, is %q", KindModel, KindPlain, d.Kind)
		}
		if d.Slots < 1 {
			v.add("deployments", id, "slots", "must be 1 or more, is %d", d.Slots)
		}
		if r := d.FirstTokenRatio; r != 0 && (r < MinFirstTokenRatio || r > MaxFirstTokenRatio) {
			v.add("deployments", id, "first_token_ratio", "must be between %g and %g, is %g", MinFirstTokenRatio, float64(MaxFirstTokenRatio), r)
		}
	}
}

func (v *validator) routes() {
	models := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(v.state.Routes)) {
		r := v.state.Routes[id]
		v.routeTarget(id, r)
		if r.Timeout < 0 || r.Timeout > MaxTimeout {
			v.add("routes", id, "timeout", "must be between 0s and 1h")
		}
		for i, c := range r.Customers {
			if _, ok := v.state.Customers[c]; !ok {
				v.add("routes", id, fmt.Sprintf("customers/%d", i), "customer %q is not defined", c)
			}
		}
		if r.Open && len(r.Customers) > 0 {
			v.add("routes", id, "open", "an open route cannot be limited to customers")
		}
		if r.Model == "" {
			continue
		}
		if other, twice := models[r.Model]; twice {
			v.add("routes", id, "model", "route %q has the same model", other)
			continue
		}
		models[r.Model] = id
	}
}

// routeTarget checks what a route matches and where it leads.
func (v *validator) routeTarget(id string, r Route) {
	if (r.Model == "") == (r.PathPrefix == "") {
		v.add("routes", id, "", "needs either model or path_prefix, and not both")
	}
	d, ok := v.state.Deployments[r.Deployment]
	if !ok {
		v.add("routes", id, "deployment", "deployment %q is not defined", r.Deployment)
		return
	}
	if r.Model != "" && d.Kind == KindPlain {
		v.add("routes", id, "deployment", "a route by model needs a model deployment; %q is plain", r.Deployment)
	}
	if r.PathPrefix != "" && d.Kind == KindModel {
		v.add("routes", id, "deployment", "a route by path needs a plain deployment; %q is a model", r.Deployment)
	}
}

// Paths that the entry serves itself.
var reservedPaths = []string{"/v1", "/healthz", "/readyz", "/metrics", "/admin"}

func (v *validator) pathPrefixes() {
	owner := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(v.state.Routes)) {
		prefix := v.state.Routes[id].PathPrefix
		if prefix == "" {
			continue
		}
		trimmed := strings.TrimRight(prefix, "/")
		if prefix[0] != '/' || trimmed == "" || path.Clean(trimmed) != trimmed {
			v.add("routes", id, "path_prefix", "must be a clean absolute path other than /, is %q", prefix)
			continue
		}
		if other, twice := owner[trimmed]; twice {
			v.add("routes", id, "path_prefix", "clashes with route %q", other)
			continue
		}
		owner[trimmed] = id
		for _, reserved := range reservedPaths {
			if under(trimmed, reserved) {
				v.add("routes", id, "path_prefix", "%s is served by the system itself", reserved)
			}
		}
	}
}

// under reports whether p is prefix or lies below it.
func under(p, prefix string) bool {
	return p == prefix || strings.HasPrefix(p, prefix+"/")
}
