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
	"dandelionrelay/locality"
)

// MaxTimeout is the maximum timeout that a route may set.
const MaxTimeout = Duration(3600e9)

// IDForm describes the format of IDs. They are used in headers, log lines and
// metrics.
const IDForm = "1 to 63 letters, digits, dots, dashes or underscores, the first a letter or digit"

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate checks a state that was not read from files, such as one posted to
// the administration API. Its findings have a JSON pointer, but no file or line.
func Validate(s *State) []api.Finding {
	l := &loader{state: s}
	return l.validate()
}

// validate checks the semantics of the complete state. The findings are sorted
// by file, line and pointer.
func (l *loader) validate() []api.Finding {
	v := &validator{state: l.state, positions: l.positions}
	v.checkIDs()
	v.checkCustomers()
	v.checkKeys()
	v.checkDeployments()
	v.checkRoutes()
	v.checkPathPrefixes()
	slices.SortStableFunc(v.findings, func(a, b api.Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Pointer, b.Pointer))
	})
	return v.findings
}

// validator collects findings on the semantics of a state.
type validator struct {
	state     *State
	positions map[string]position
	findings  []api.Finding
}

// addFinding adds a finding on a field of an entry, or on the entry if field
// is empty.
func (v *validator) addFinding(section, id, field, format string, args ...any) {
	entry := "/" + section + "/" + escapePointer(id)
	pointer := entry
	if field != "" {
		pointer += "/" + field
	}
	at, ok := v.positions[pointer]
	if !ok {
		at = v.positions[entry]
	}
	v.findings = append(v.findings, api.Finding{
		File:    at.file,
		Line:    at.line,
		Pointer: pointer,
		Message: fmt.Sprintf(format, args...),
	})
}

// ValidID reports whether id is a valid ID of a customer, key, deployment or
// route, as described by IDForm.
func ValidID(id string) bool { return idPattern.MatchString(id) }

func (v *validator) checkIDs() {
	checkSectionIDs(v, "customers", v.state.Customers)
	checkSectionIDs(v, "keys", v.state.Keys)
	checkSectionIDs(v, "deployments", v.state.Deployments)
	checkSectionIDs(v, "routes", v.state.Routes)
	checkSectionIDs(v, "evacuations", v.state.Evacuations)
}

// checkSectionIDs checks the format of the IDs of a section.
func checkSectionIDs[T any](v *validator, section string, entries map[string]T) {
	for id := range entries {
		if !ValidID(id) {
			v.addFinding(section, id, "", "the id must be %s, is %q", IDForm, id)
		}
	}
}

func (v *validator) checkCustomers() {
	for id, c := range v.state.Customers {
		if isNotFinite(c.Rate) || c.Rate <= 0 {
			v.addFinding("customers", id, "rate", "must be more than 0 requests per second, is %g", c.Rate)
		}
		if isNotFinite(c.Burst) || c.Burst < 1 {
			v.addFinding("customers", id, "burst", "must be 1 request or more, is %g", c.Burst)
		}
		if isNotFinite(c.Weight) || c.Weight < 0 {
			v.addFinding("customers", id, "weight", "must not be negative, is %g", c.Weight)
		}
		v.checkHomes("customers", id, c.Homes)
	}
}

// checkHomes checks the names of regions in a list of homes, which must not repeat.
func (v *validator) checkHomes(section, id string, homes locality.Homes) {
	for i, region := range homes {
		field := fmt.Sprintf("homes/%d", i)
		if !ValidID(region) {
			v.addFinding(section, id, field, "the name of a region must be %s, is %q", IDForm, region)
			continue
		}
		if slices.Contains(homes[:i], region) {
			v.addFinding(section, id, field, "region %q is listed twice", region)
		}
	}
}

func isNotFinite(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

func (v *validator) checkKeys() {
	idByDigest := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(v.state.Keys)) {
		k := v.state.Keys[id]
		if _, ok := v.state.Customers[k.Customer]; !ok {
			v.addFinding("keys", id, "customer", "customer %q is not defined", k.Customer)
		}
		if !digestPattern.MatchString(k.Digest) {
			v.addFinding("keys", id, "digest", "must be the SHA-256 digest of the key as 64 lower-case hex digits")
			continue
		}
		if other, duplicate := idByDigest[k.Digest]; duplicate {
			v.addFinding("keys", id, "digest", "same digest as key %q", other)
			continue
		}
		idByDigest[k.Digest] = id
	}
}

func (v *validator) checkDeployments() {
	for id, d := range v.state.Deployments {
		switch d.Kind {
		case KindModel:
			if d.Model == "" {
				v.addFinding("deployments", id, "model", "a model deployment needs the name of its model")
			}
		case KindPlain:
			if d.Model != "" || d.ObeysFencing || d.CanResume || d.FirstTokenRatio != 0 {
				v.addFinding("deployments", id, "kind", "model, obeys_fencing, can_resume and first_token_ratio are for model deployments only")
			}
		default:
			v.addFinding("deployments", id, "kind", "must be %q or %q, is %q", KindModel, KindPlain, d.Kind)
		}
		if d.Slots < 1 {
			v.addFinding("deployments", id, "slots", "must be 1 or more, is %d", d.Slots)
		}
		if r := d.FirstTokenRatio; r != 0 && (r < MinFirstTokenRatio || r > MaxFirstTokenRatio) {
			v.addFinding("deployments", id, "first_token_ratio", "must be between %g and %g, is %g", MinFirstTokenRatio, float64(MaxFirstTokenRatio), r)
		}
		v.checkCold(id, d)
	}
}

// checkCold checks the limits of cold endpoints.
func (v *validator) checkCold(id string, d Deployment) {
	if isNotFinite(d.ColdRate) || d.ColdRate < 0 {
		v.addFinding("deployments", id, "cold_rate", "must not be negative, is %g", d.ColdRate)
	} else if d.ColdRate != 0 && d.ColdRate < MinColdRate {
		v.addFinding("deployments", id, "cold_rate", "must be 0 or at least %g, is %g", MinColdRate, d.ColdRate)
	}
	if d.ColdTime < 0 || d.ColdTime > MaxColdTime {
		v.addFinding("deployments", id, "cold_time", "must be between 0s and 1h")
	}
	if (d.ColdRate == 0) != (d.ColdTime == 0) {
		v.addFinding("deployments", id, "cold_rate", "cold_rate and cold_time need each other")
	}
}

func (v *validator) checkRoutes() {
	idByModel := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(v.state.Routes)) {
		r := v.state.Routes[id]
		v.checkRouteTarget(id, r)
		v.checkHomes("routes", id, r.Homes)
		if r.Timeout < 0 || r.Timeout > MaxTimeout {
			v.addFinding("routes", id, "timeout", "must be between 0s and 1h")
		}
		for i, c := range r.Customers {
			if _, ok := v.state.Customers[c]; !ok {
				v.addFinding("routes", id, fmt.Sprintf("customers/%d", i), "customer %q is not defined", c)
			}
		}
		if r.Open && len(r.Customers) > 0 {
			v.addFinding("routes", id, "open", "an open route cannot be limited to customers")
		}
		if r.Model == "" {
			continue
		}
		if other, duplicate := idByModel[r.Model]; duplicate {
			v.addFinding("routes", id, "model", "route %q has the same model", other)
			continue
		}
		idByModel[r.Model] = id
	}
}

// checkRouteTarget checks what a route matches and its deployment.
func (v *validator) checkRouteTarget(id string, r Route) {
	if (r.Model == "") == (r.PathPrefix == "") {
		v.addFinding("routes", id, "", "needs either model or path_prefix, and not both")
	}
	d, ok := v.state.Deployments[r.Deployment]
	if !ok {
		v.addFinding("routes", id, "deployment", "deployment %q is not defined", r.Deployment)
		return
	}
	if r.Model != "" && d.Kind == KindPlain {
		v.addFinding("routes", id, "deployment", "a route by model needs a model deployment; %q is plain", r.Deployment)
	}
	if r.PathPrefix != "" && d.Kind == KindModel {
		v.addFinding("routes", id, "deployment", "a route by path needs a plain deployment; %q is a model", r.Deployment)
	}
}

// reservedPaths are the paths that the entry serves itself.
var reservedPaths = []string{"/v1", "/healthz", "/readyz", "/metrics", "/admin"}

func (v *validator) checkPathPrefixes() {
	idByPrefix := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(v.state.Routes)) {
		prefix := v.state.Routes[id].PathPrefix
		if prefix == "" {
			continue
		}
		trimmed := strings.TrimRight(prefix, "/")
		if prefix[0] != '/' || trimmed == "" || path.Clean(trimmed) != trimmed {
			v.addFinding("routes", id, "path_prefix", "must be a clean absolute path other than /, is %q", prefix)
			continue
		}
		if other, duplicate := idByPrefix[trimmed]; duplicate {
			v.addFinding("routes", id, "path_prefix", "clashes with route %q", other)
			continue
		}
		idByPrefix[trimmed] = id
		for _, reserved := range reservedPaths {
			if hasPathPrefix(trimmed, reserved) {
				v.addFinding("routes", id, "path_prefix", "%s is served by the system itself", reserved)
			}
		}
	}
}

// hasPathPrefix reports whether p equals prefix or is a path below it.
func hasPathPrefix(p, prefix string) bool {
	return p == prefix || strings.HasPrefix(p, prefix+"/")
}
