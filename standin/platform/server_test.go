package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"dandelionrelay/infra"
	"dandelionrelay/infra/client"
	standin "dandelionrelay/standin/platform"
)

func TestServer_ServesClient(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	log := standin.NewLog(0, 1)
	instances := standin.NewInstances(0)
	server := httptest.NewServer(standin.NewServer(log, instances, 6))
	defer server.Close()
	c := client.New(server.URL, nil)

	offset, err := c.Append(ctx, "jobs/01", "a", []byte("one"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(offset).To(Equal(infra.Offset(1)))
	records, err := c.Read(ctx, "jobs/01", 1, 10, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(1))
	g.Expect(records[0].Data).To(Equal([]byte("one")))
	records, err = c.Read(ctx, "jobs/01", 2, 10, time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(BeEmpty())
	oldest, next, err := c.Bounds(ctx, "jobs/01")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]infra.Offset{oldest, next}).To(Equal([]infra.Offset{1, 2}))

	instances.Set([]infra.Instance{{ID: "e1", Role: infra.RoleEntry, State: infra.Live}})
	list, err := c.List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	loads, err := c.LoadsPerMinute(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loads).To(Equal(6))

	log.SetFaults(standin.Faults{LoseAnswer: 1})
	_, err = c.Append(ctx, "jobs/01", "b", nil)
	g.Expect(errorx.IsOfType(err, infra.Unavailable)).To(BeTrue())
	log.SetFaults(standin.Faults{})
	records, err = c.Read(ctx, "jobs/01", 2, 10, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(1), "the record of an append with a lost response is stored")
}

func TestServer_ExpiredReadReturnsExpiredError(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	log := standin.NewLog(time.Nanosecond, 1)
	server := httptest.NewServer(standin.NewServer(log, standin.NewInstances(0), 1))
	defer server.Close()
	c := client.New(server.URL, nil)
	_, err := c.Append(ctx, "config", "a", nil)
	g.Expect(err).NotTo(HaveOccurred())
	var expired *infra.ExpiredError
	g.Eventually(func() error {
		_, err := c.Read(ctx, "config", 1, 1, 0)
		return err
	}).Should(BeAssignableToTypeOf(expired))
}

// countingTransport counts the bytes of response bodies by their Content-Length.
type countingTransport struct{ bytes int64 }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		c.bytes += max(0, resp.ContentLength)
	}
	return resp, err
}

func TestServer_UnchangedInstanceListIsNotResent(t *testing.T) {
	g := NewWithT(t)
	instances := standin.NewInstances(0)
	server := httptest.NewServer(standin.NewServer(standin.NewLog(0, 1), instances, 1))
	defer server.Close()
	transport := new(countingTransport)
	c := client.New(server.URL, transport)
	list := []infra.Instance{{ID: "e1", Role: infra.RoleEntry, State: infra.Live}}
	instances.Set(list)
	for range 10 {
		got, err := c.List(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(list))
	}
	once := transport.bytes
	g.Expect(once).To(BeNumerically("<", 200), "the list is transferred once")
	list[0].State = infra.Leaving
	instances.Set(list)
	got, err := c.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(list))
	g.Expect(transport.bytes).To(BeNumerically(">", once))
}
