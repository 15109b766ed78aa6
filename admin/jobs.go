package admin

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/jobs"
)

// PathJobs lists batch jobs; ?customer= restricts it to one customer.
const PathJobs = "/admin/v1/jobs"

// Job is an operator's view of a batch job, without the contents of its items.
type Job struct {
	ID        string      `json:"id"`
	Customer  string      `json:"customer"`
	Status    jobs.Status `json:"status"`
	Total     int         `json:"total"`
	Completed int         `json:"completed"`
	Failed    int         `json:"failed"`
	Created   time.Time   `json:"created"`
	Due       time.Time   `json:"due"`
	Kept      time.Time   `json:"kept"` // results are kept until then
}

// JobsReply lists jobs, in the order of their due times.
type JobsReply struct {
	Jobs []Job `json:"jobs"`
}

// JobLister lists the batch jobs of a customer.
type JobLister interface {
	List(ctx context.Context, customer string) ([]jobs.View, error)
}

func (h *Handler) jobs(r *http.Request, _ string) (any, *api.Error) {
	customers := slices.Sorted(maps.Keys(h.Source.Current().State.Customers))
	if customer := r.FormValue("customer"); customer != "" {
		customers = []string{customer}
	}
	reply := JobsReply{Jobs: []Job{}}
	for _, c := range customers {
		views, err := h.Jobs.List(r.Context(), c)
		if err != nil {
			e := api.NewError(http.StatusServiceUnavailable, api.CodeLogDown, "some jobs are still being read from the log, or their owner does not answer")
			return nil, e.WithRetryAfter(time.Second)
		}
		for _, v := range views {
			reply.Jobs = append(reply.Jobs, newJob(v))
		}
	}
	slices.SortStableFunc(reply.Jobs, func(a, b Job) int { return a.Due.Compare(b.Due) })
	return reply, nil
}

func newJob(v jobs.View) Job {
	return Job{
		ID: v.ID, Customer: v.Customer, Status: v.Status,
		Total: v.Total, Completed: v.Completed, Failed: v.Failed,
		Created: v.Created, Due: v.Due, Kept: v.Kept,
	}
}

// Jobs returns the batch jobs of a customer, or of all customers if customer is
// empty.
func (c *Client) Jobs(ctx context.Context, customer string) (*JobsReply, error) {
	reply := new(JobsReply)
	path := PathJobs + "?customer=" + url.QueryEscape(customer)
	return reply, c.call(ctx, http.MethodGet, path, nil, reply)
}
