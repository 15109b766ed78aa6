// Package settings reads the settings of each process from a JSON file and
// validates them at start. docs/SETTINGS.md documents every field.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
)

// Process holds the settings that entries and sidecars have in common. Package reload
// changes the tagged fields in a running process.
type Process struct {
	ID          string `json:"id"`                                // as in the platform's instance list
	DataCentre  string `json:"data_centre"`                       // as in the platform's instance list
	HTTPAddr    string `json:"http_addr"`                         // ip:port, serves callers or entries
	RPCAddr     string `json:"rpc_addr"`                          // ip:port, serves peers
	OpsAddr     string `json:"ops_addr"`                          // ip:port, serves metrics, health and administration
	PlatformURL string `json:"platform_url" reload:"true"`        // http://ip:port of the platform
	LogLevel    string `json:"log_level,omitempty" reload:"true"` // debug, info, warn or error; default info
	TLS         *TLS   `json:"tls,omitempty"`                     // between peers; default plain TCP
	Machine
}

// TLS holds the paths of the PEM files for mutual authentication of peers.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"` // certificate authority that signs the certificates of all peers
}

// Entry holds the settings of an entry.
type Entry struct {
	Process
	MaxBodyBytes int64           `json:"max_body_bytes,omitempty" reload:"true"` // maximum size of a request body; default 4 MiB
	DrainDelay   config.Duration `json:"drain_delay,omitempty" reload:"true"`    // time between becoming unready and closing the listener; default 2s
	DrainTimeout config.Duration `json:"drain_timeout,omitempty" reload:"true"`  // maximum wait for requests in flight; default 5m
	LogRetention config.Duration `json:"log_retention,omitempty"`                // time for which the platform's log keeps records; 0: unlimited
	MaxStaleness config.Duration `json:"max_staleness,omitempty" reload:"true"`  // time since the configuration was last confirmed with the log after which routes that need a key are refused; 0: never
	Operators    []Operator      `json:"operators,omitempty" reload:"true"`      // who may use the administration interface

	Regions map[string]string `json:"regions,omitempty" reload:"true"` // region by data centre, for the homes of customers and routes
}

// Operator is a person or a tool that may use the administration interface.
type Operator struct {
	Name   string `json:"name"`
	Digest string `json:"digest"` // lower-case hex SHA-256 of the operator's token
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process
	Deployment  string `json:"deployment"`   // of its endpoint
	EndpointURL string `json:"endpoint_url"` // http://ip:port of the endpoint
	// EndpointVersion is the version of the endpoint's software. Texts that one version has
	// begun are not continued by another. Empty: the same as all endpoints of the deployment
	// that name none.
	EndpointVersion string          `json:"endpoint_version,omitempty"`
	DrainTimeout    config.Duration `json:"drain_timeout,omitempty" reload:"true"` // maximum wait for streams in flight; default 5m
}

// Platform holds the settings of the stand-in platform.
type Platform struct {
	HTTPAddr       string           `json:"http_addr"`                  // ip:port
	Retention      config.Duration  `json:"retention,omitempty"`        // time for which the log keeps records; 0: unlimited
	ListLag        config.Duration  `json:"list_lag,omitempty"`         // delay with which the instance list shows changes
	LoadsPerMinute int              `json:"loads_per_minute,omitempty"` // rate limit of the weight store; default 6
	Seed           uint64           `json:"seed,omitempty"`             // of injected faults
	Instances      []infra.Instance `json:"instances,omitempty"`        // initial instance list
}

// Engine holds the settings of a stand-in engine.
type Engine struct {
	HTTPAddr     string          `json:"http_addr"`               // ip:port
	Model        string          `json:"model"`                   // name of the served model
	StepBase     config.Duration `json:"step_base,omitempty"`     // duration of an engine step without running requests; default 5ms
	StepPerSlot  config.Duration `json:"step_per_slot,omitempty"` // added to the step for each running request; default 0.2ms. It sets engine.Options.StepPerSequence
	ObeysFencing bool            `json:"obeys_fencing,omitempty"` // rejects orders with an outdated fencing token

	ColdRate  float64         `json:"cold_rate,omitempty"`  // requests a second that the engine tolerates while it is cold; 0: it is never cold
	ColdTime  config.Duration `json:"cold_time,omitempty"`  // time for which it is cold after its start
	ColdCrash float64         `json:"cold_crash,omitempty"` // multiple of ColdRate above which it crashes; default 1.5
}

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultDrainDelay     = 2 * time.Second
	DefaultDrainTimeout   = 5 * time.Minute
	DefaultLoadsPerMinute = 6
	DefaultStepBase       = 5 * time.Millisecond
	DefaultStepPerSlot    = 200 * time.Microsecond
)

// document is a settings document that sets its defaults and validates itself.
type document interface {
	check(f *findings)
}

// findings collects the findings about one file.
type findings struct {
	file string
	list []api.Finding
}

func (f *findings) add(pointer, message string) {
	f.list = append(f.list, api.Finding{File: f.file, Pointer: pointer, Message: message})
}

func (f *findings) required(pointer, value string) {
	if value == "" {
		f.add(pointer, "is required")
	}
}

// id checks a name that the desired state refers to.
func (f *findings) id(pointer, value string) {
	if !config.ValidID(value) {
		f.add(pointer, fmt.Sprintf("must be %s, not %q", config.IDForm, value))
	}
}

func (f *findings) addr(pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(pointer, "must be ip:port, not "+strconv.Quote(value))
	}
}

func (f *findings) url(pointer, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Path != "" {
		f.add(pointer, "must be http://ip:port, not "+strconv.Quote(value))
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		f.add(pointer, "must be http://ip:port, not "+strconv.Quote(value))
	}
}

// headerValue checks that value can be sent in a header: it consists of at most
// maxHeaderValue visible ASCII characters.
func (f *findings) headerValue(pointer, value string) {
	invisible := strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' })
	if invisible || len(value) > maxHeaderValue {
		f.add(pointer, fmt.Sprintf("must be at most %d visible ASCII characters", maxHeaderValue))
	}
}

// maxHeaderValue is the largest length of a setting that is sent in a header, in bytes.
const maxHeaderValue = 128

// optionalDigest checks a hex SHA-256 digest, which may be missing.
func (f *findings) optionalDigest(pointer, value string) {
	if b, err := hex.DecodeString(value); err != nil || value != "" && len(b) != sha256.Size {
		f.add(pointer, "must be the SHA-256 digest of a token in 64 hex digits")
	}
}

func (f *findings) notNegative(pointer string, value float64) {
	if value < 0 {
		f.add(pointer, "must not be negative")
	}
}

// optionalAtLeast checks that value is at least least, unless it is missing.
func (f *findings) optionalAtLeast(pointer string, value, least int) {
	if value != 0 && value < least {
		f.add(pointer, fmt.Sprintf("must be at least %d, not %d", least, value))
	}
}

// level validates a log level and sets the default.
func (f *findings) level(pointer string, value *string) {
	setDefault(value, "info")
	switch *value {
	case "debug", "info", "warn", "error":
	default:
		f.add(pointer, "must be debug, info, warn or error, not "+strconv.Quote(*value))
	}
}

// setDefault sets *value to byDefault if it is the zero value.
func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

func (p *Process) check(f *findings) {
	f.required("/id", p.ID)
	f.required("/data_centre", p.DataCentre)
	f.addr("/http_addr", p.HTTPAddr)
	f.addr("/rpc_addr", p.RPCAddr)
	f.addr("/ops_addr", p.OpsAddr)
	f.url("/platform_url", p.PlatformURL)
	f.level("/log_level", &p.LogLevel)
	p.Machine.check(f)
	if p.TLS != nil {
		f.required("/tls/cert_file", p.TLS.CertFile)
		f.required("/tls/key_file", p.TLS.KeyFile)
		f.required("/tls/ca_file", p.TLS.CAFile)
	}
}

func (e *Entry) check(f *findings) {
	e.Process.check(f)
	f.notNegative("/max_body_bytes", float64(e.MaxBodyBytes))
	f.notNegative("/log_retention", float64(e.LogRetention))
	f.notNegative("/drain_delay", float64(e.DrainDelay))
	f.notNegative("/drain_timeout", float64(e.DrainTimeout))
	if e.MaxStaleness != 0 && e.MaxStaleness < config.MinStalenessLimit {
		f.add("/max_staleness", fmt.Sprintf("must be 0 or at least 1m, not %s: an entry is in contact with the log only every few seconds", time.Duration(e.MaxStaleness)))
	}
	setDefault(&e.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&e.DrainDelay, config.Duration(DefaultDrainDelay))
	setDefault(&e.DrainTimeout, config.Duration(DefaultDrainTimeout))
	for i, o := range e.Operators {
		at := "/operators/" + strconv.Itoa(i)
		f.required(at+"/name", o.Name)
		if len(o.Digest) != 64 {
			f.add(at+"/digest", fmt.Sprintf("must be 64 hex digits, but has length %d", len(o.Digest)))
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(e.Regions)) {
		at := "/regions/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(dataCentre)
		f.id(at, dataCentre)
		f.id(at, e.Regions[dataCentre])
	}
}

func (s *Sidecar) check(f *findings) {
	s.Process.check(f)
	f.required("/deployment", s.Deployment)
	f.url("/endpoint_url", s.EndpointURL)
	f.headerValue("/endpoint_version", s.EndpointVersion)
	f.notNegative("/drain_timeout", float64(s.DrainTimeout))
	setDefault(&s.DrainTimeout, config.Duration(DefaultDrainTimeout))
}

func (p *Platform) check(f *findings) {
	f.addr("/http_addr", p.HTTPAddr)
	f.notNegative("/retention", float64(p.Retention))
	f.notNegative("/list_lag", float64(p.ListLag))
	f.notNegative("/loads_per_minute", float64(p.LoadsPerMinute))
	setDefault(&p.LoadsPerMinute, DefaultLoadsPerMinute)
}

func (e *Engine) check(f *findings) {
	f.addr("/http_addr", e.HTTPAddr)
	f.required("/model", e.Model)
	f.notNegative("/step_base", float64(e.StepBase))
	f.notNegative("/step_per_slot", float64(e.StepPerSlot))
	f.notNegative("/cold_rate", e.ColdRate)
	f.notNegative("/cold_time", float64(e.ColdTime))
	f.notNegative("/cold_crash", e.ColdCrash)
	setDefault(&e.StepBase, config.Duration(DefaultStepBase))
	setDefault(&e.StepPerSlot, config.Duration(DefaultStepPerSlot))
}
