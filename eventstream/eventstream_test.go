package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func readAll(t *testing.T, text string) ([]Event, error) {
	r := NewReader(strings.NewReader(text))
	var events []Event
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		e.Raw = append([]byte(nil), e.Raw...)
		events = append(events, e)
	}
}

func TestReader_ReturnsEventsUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	text := "id: 7\ndata: one\n\nversions: 3\nid:8\r\ndata: two\r\ndata:three\r\n\r\n: comment\n\n"
	events, err := readAll(t, text)
	g.Expect(err).To(gomega.Equal(io.EOF))
	g.Expect(events).To(gomega.HaveLen(3))
	raw := ""
	for _, e := range events {
		raw += string(e.Raw)
	}
	g.Expect(raw).To(gomega.Equal(text))
	g.Expect([]int64{events[0].ID, events[1].ID}).To(gomega.Equal([]int64{7, 8}))
	g.Expect(events[2].HasID).To(gomega.BeFalse())
	g.Expect(string(events[1].AppendData([]byte("x")))).To(gomega.Equal("xtwo\nthree"))
}

func TestReader_DropsIncompleteEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{"id: 1\ndata: x\n\nid: 2\nda", "id: 1\ndata: x\n\nid: 2\ndata: y\n"} {
		events, err := readAll(t, text)
		g.Expect(events).To(gomega.HaveLen(1))
		g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(gomega.BeTrue())
	}
}

func TestReader_IgnoresNonNumericID(t *testing.T) {
	g := gomega.NewWithT(t)
	events, _ := readAll(t, "id: x\ndata: y\n\n")
	g.Expect(events[0].HasID).To(gomega.BeFalse())
}

func TestReader_LimitsEventSize(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := readAll(t, "data: "+strings.Repeat("x", maxEventBytes))
	g.Expect(errors.Is(err, ErrTooLong)).To(gomega.BeTrue())
}

// FuzzReader checks that for any input the events read, joined, are a prefix of it.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("\n\r\n: \n\n\nid:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, _ := readAll(t, text)
		raw := ""
		for _, e := range events {
			raw += string(e.Raw)
		}
		if !strings.HasPrefix(text, raw) {
			t.Fatalf("%q is not a prefix of %q", raw, text)
		}
	})
}
