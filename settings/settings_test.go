package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/settings"
)

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "s.json")
	NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func TestLoadEntry_SetsDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadEntry(writeSettings(t, `{"id":"e1","data_centre":"a","http_addr":"127.0.0.1:1",
		"rpc_addr":"127.0.0.1:2","ops_addr":"127.0.0.1:3","platform_url":"http://127.0.0.1:4"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.MaxBodyBytes).To(BeEquivalentTo(settings.DefaultMaxBodyBytes))
	g.Expect(s.DrainDelay).To(Equal(config.Duration(2 * time.Second)))
	g.Expect(s.LogLevel).To(Equal("info"))
}

// TestLoadGateway_ContentPartsWithinStoreParts loads settings with a store that
// allows fewer partitions than a gateway uses by default.
func TestLoadGateway_ContentPartsWithinStoreParts(t *testing.T) {
	load := func(extra string) (*settings.Gateway, error) {
		return settings.LoadGateway(writeSettings(t, `{"id":"e1","data_centre":"a","callers_addr":"127.0.0.1:1","ready_addr":"127.0.0.1:2",
			"metrics_addr":"127.0.0.1:3","peers_addr":"127.0.0.1:4","store_addr":"127.0.0.1:5"`+extra+`}`))
	}
	for extra, parts := range map[string]int{"": settings.DefaultContentParts, `,"store_parts":1`: 1, `,"store_parts":12`: settings.DefaultContentParts} {
		g := NewWithT(t)
		s, err := load(extra)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.ContentParts).To(Equal(parts), extra)
	}
	_, err := load(`,"store_parts":2,"content_parts":3,"limit_excess":-0.1`)
	NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("/content_parts"), ContainSubstring("/limit_excess"))))
}

// TestLoadGateway_ChecksRegions guards against regions that contradict one another or name
// nothing.
func TestLoadGateway_ChecksRegions(t *testing.T) {
	load := func(extra string) (*settings.Gateway, error) {
		return settings.LoadGateway(writeSettings(t, `{"id":"e1","data_centre":"a","callers_addr":"127.0.0.1:1","ready_addr":"127.0.0.1:2",
			"metrics_addr":"127.0.0.1:3","peers_addr":"127.0.0.1:4","store_addr":"127.0.0.1:5"`+extra+`}`))
	}
	for _, extra := range []string{"", `,"region":"eu"`, `,"regions":{"b":"us"},"region":"eu"`, `,"regions":{"a":"eu"},"region":"eu","evacuation_bound":"5s"`} {
		_, err := load(extra)
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), extra)
	}
	for extra, pointer := range map[string]string{
		`,"regions":{"a":"eu"},"region":"us"`: "/region:",
		`,"regions":{"a/b":""}`:               "/regions/a~1b",
		`,"regions":{"":"eu"}`:                "/regions/:",
		`,"regions":["eu"]`:                   "regions",
		`,"evacuation_bound":"-1s"`:           "/evacuation_bound",
	} {
		_, err := load(extra)
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(pointer)), extra)
	}
}

func TestLoadEntry_ReportsAllFindingsWithPointers(t *testing.T) {
	g := NewWithT(t)
	path := writeSettings(t, `{"id":"","data_centre":"a","http_addr":"localhost:1","rpc_addr":"127.0.0.1:2",
		"ops_addr":"127.0.0.1:3","platform_url":"https://127.0.0.1:4","log_level":"loud",
		"operators":[{"name":"x","digest":"00"}]}`)
	_, err := settings.LoadEntry(path)
	var pointers []string
	for _, f := range err.(settings.FindingsError) {
		g.Expect(f.File).To(Equal(path))
		pointers = append(pointers, f.Pointer)
	}
	g.Expect(pointers).To(Equal([]string{"/id", "/http_addr", "/platform_url", "/log_level", "/operators/0/digest"}))
}

func TestLoadPlatform_DecodingFindingsHaveLines(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.LoadPlatform(writeSettings(t, "{\n\"http_addr\":\"127.0.0.1:1\",\n\"speed\":1}"))
	g.Expect(err).To(HaveLen(1))
	g.Expect(err.(settings.FindingsError)[0].Line).To(Equal(3))
	g.Expect(err).To(MatchError(ContainSubstring(`unknown field "speed"`)))
	_, err = settings.LoadPlatform(writeSettings(t, "{\n\"http_addr\":7}"))
	g.Expect(err.(settings.FindingsError)[0].Line).To(Equal(2))
	g.Expect(err.(settings.FindingsError)[0].Pointer).To(Equal("/http_addr"))
	_, err = settings.LoadPlatform(writeSettings(t, `{"http_addr":"127.0.0.1:1"} {}`))
	g.Expect(err).To(MatchError(ContainSubstring("more than one document")))
}

// TestLoadSidecar_EndpointVersion loads versions that can and can't be sent in a header.
func TestLoadSidecar_EndpointVersion(t *testing.T) {
	for version, valid := range map[string]bool{"": true, "v1.2+cuda": true, "v 1": false, "v\u00e9": false, strings.Repeat("v", 129): false} {
		g := NewWithT(t)
		_, err := settings.LoadSidecar(writeSettings(t, `{"id":"s1","data_centre":"a","http_addr":"127.0.0.1:1","rpc_addr":"127.0.0.1:2",
			"ops_addr":"127.0.0.1:3","platform_url":"http://127.0.0.1:4","deployment":"d","endpoint_url":"http://127.0.0.1:5","endpoint_version":"`+version+`"}`))
		if valid {
			g.Expect(err).NotTo(HaveOccurred(), version)
		} else {
			g.Expect(err).To(MatchError(ContainSubstring("/endpoint_version")), version)
		}
	}
}

// TestLoadGateway_ColdBounds loads bounds on cold endpoints: without them exactly the cold
// rate is allowed, and bounds below it are findings.
func TestLoadGateway_ColdBounds(t *testing.T) {
	load := func(extra string) (*settings.Gateway, error) {
		return settings.LoadGateway(writeSettings(t, `{"id":"e1","data_centre":"a","callers_addr":"127.0.0.1:1","ready_addr":"127.0.0.1:2",
			"metrics_addr":"127.0.0.1:3","peers_addr":"127.0.0.1:4","store_addr":"127.0.0.1:5"`+extra+`}`))
	}
	for extra, want := range map[string][2]float64{"": {1, 0}, `,"cold_excess":1.5,"cold_slack":5`: {1.5, 5}, `,"cold_slack":2`: {1, 2}} {
		g := NewWithT(t)
		s, err := load(extra)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect([2]float64{s.ColdExcess, s.ColdSlack}).To(Equal(want), extra)
	}
	_, err := load(`,"cold_excess":0.9,"cold_slack":-1`)
	NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("/cold_excess"), ContainSubstring("/cold_slack"))))
}

// TestLoadGateway_OperatorTokenDigest guards against a digest, or a token in its place, that
// no token can match.
func TestLoadGateway_OperatorTokenDigest(t *testing.T) {
	load := func(digest string) error {
		_, err := settings.LoadGateway(writeSettings(t, `{"id":"e1","data_centre":"a","callers_addr":"127.0.0.1:1","ready_addr":"127.0.0.1:2",
			"metrics_addr":"127.0.0.1:3","peers_addr":"127.0.0.1:4","store_addr":"127.0.0.1:5","operator_token_digest":"`+digest+`"}`))
		return err
	}
	for _, digest := range []string{"", strings.Repeat("0a", 32), strings.Repeat("0A", 32)} {
		NewWithT(t).Expect(load(digest)).To(Succeed(), digest)
	}
	for _, digest := range []string{"secret", "00", strings.Repeat("0a", 33), strings.Repeat("0", 63), strings.Repeat("0g", 32)} {
		NewWithT(t).Expect(load(digest)).To(MatchError(ContainSubstring("/operator_token_digest")), digest)
	}
}

// TestLoadEntry_ChecksRegions guards against a data centre without a region, which would
// be outside all homes without a word.
func TestLoadEntry_ChecksRegions(t *testing.T) {
	const process = `{"id":"e1","data_centre":"a","http_addr":"127.0.0.1:1","rpc_addr":"127.0.0.1:2",
		"ops_addr":"127.0.0.1:3","platform_url":"http://127.0.0.1:4","regions":`
	g := NewWithT(t)
	s, err := settings.LoadEntry(writeSettings(t, process+`{"a":"eu","b":"us"}}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Regions).To(Equal(map[string]string{"a": "eu", "b": "us"}))
	_, err = settings.LoadEntry(writeSettings(t, process+`{"a":"","b/c":"us"}}`))
	var pointers []string
	for _, f := range err.(settings.FindingsError) {
		pointers = append(pointers, f.Pointer)
	}
	g.Expect(pointers).To(Equal([]string{"/regions/a", "/regions/b~1c"}))
}

// Guards against an entry that does not start on a small machine, and against limits in which
// none fits.
func TestLoadGateway_Machine(t *testing.T) {
	g := NewWithT(t)
	load := func(fields string) (*settings.Gateway, error) {
		return settings.LoadGateway(writeSettings(t, `{"id":"a","data_centre":"a","callers_addr":"127.0.0.1:1","ready_addr":"127.0.0.1:2",
			"metrics_addr":"127.0.0.1:3","peers_addr":"127.0.0.1:4","store_addr":"127.0.0.1:5"`+fields+`}`))
	}
	s, err := load(`,"memory_mb":32,"max_descriptors":256`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Machine).To(Equal(settings.Machine{MemoryMB: 32, MaxDescriptors: 256}))
	s, err = load("")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Machine).To(Equal(settings.Machine{MemoryMB: settings.DefaultMemoryMB}))
	_, err = load(`,"memory_mb":31,"max_descriptors":-1`)
	g.Expect(err).To(MatchError(And(ContainSubstring("/memory_mb"), ContainSubstring("/max_descriptors"))))
}
