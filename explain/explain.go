// Package explain defines the question that operators ask of an entry of package gateway,
// where a request or a job would go now, and the reply.
package explain

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// Path is the path of the question at the entry's address for metrics.
const Path = "/explain"

// Query describes a request or job.
type Query struct {
	Route    string // ID of the route; empty: the one to which Host and Path lead
	Host     string
	Path     string
	Customer string // empty: the request has no key
	Version  string // of the endpoint software that began the response; empty: it has not begun
	Job      bool   // the route must be one that takes jobs
}

// Names of the parameters of a query.
const (
	paramRoute    = "route"
	paramHost     = "host"
	paramPath     = "path"
	paramCustomer = "customer"
	paramVersion  = "version"
	paramJob      = "job"
)

// maxParamBytes is the maximum length of a parameter.
const maxParamBytes = 2048

// Values returns q as parameters of a URL.
func (q Query) Values() url.Values {
	v := make(url.Values)
	for name, value := range map[string]string{
		paramRoute: q.Route, paramHost: q.Host, paramPath: q.Path, paramCustomer: q.Customer, paramVersion: q.Version,
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	if q.Job {
		v.Set(paramJob, strconv.FormatBool(q.Job))
	}
	return v
}

// Check returns an error unless q names either a route or a host and a path.
func (q Query) Check() error {
	switch {
	case q.Route != "" && (q.Host != "" || q.Path != ""):
		return fmt.Errorf("give either a route or a host and a path, not both")
	case q.Route == "" && (q.Host == "" || q.Path == ""):
		return fmt.Errorf("a route, or a host and a path, is required")
	case q.Path != "" && !strings.HasPrefix(q.Path, "/"):
		return fmt.Errorf("the path must begin with /, not %q", q.Path)
	}
	return nil
}

// ParseQuery returns the query with the parameters v. Its error names the parameter at
// fault.
func ParseQuery(v url.Values) (Query, error) {
	var q Query
	fields := map[string]*string{
		paramRoute: &q.Route, paramHost: &q.Host, paramPath: &q.Path, paramCustomer: &q.Customer, paramVersion: &q.Version,
	}
	for name, values := range v {
		field := fields[name]
		switch {
		case field == nil && name != paramJob:
			return Query{}, fmt.Errorf("parameter %q is not known", name)
		case len(values) != 1:
			return Query{}, fmt.Errorf("parameter %q is given more than once", name)
		case len(values[0]) > maxParamBytes:
			return Query{}, fmt.Errorf("parameter %q is longer than %d bytes", name, maxParamBytes)
		case field != nil:
			*field = values[0]
		}
	}
	if v.Has(paramJob) {
		var err error
		if q.Job, err = strconv.ParseBool(v.Get(paramJob)); err != nil {
			return Query{}, fmt.Errorf("parameter %q must be true or false, not %q", paramJob, v.Get(paramJob))
		}
	}
	return q, q.Check()
}
