package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"dandelionrelay/standin/fleet"
)

const (
	pathChat    = "/v1/chat/completions"
	pathBatches = "/v1/batches"
)

func (r *runner) start(ctx context.Context) error {
	var started []*fleet.Instance
	for range 2 {
		i, _, err := r.fleet.AddEngine("assistant")
		if err != nil {
			return err
		}
		r.engines = append(r.engines, i)
		started = append(started, i)
		r.printf("engine with sidecar %s in %s at %s", i.ID, i.DataCentre, i.HTTPAddr)
	}
	i, _, err := r.fleet.AddPlain("pickups")
	if err != nil {
		return err
	}
	started = append(started, i)
	r.printf("plain service with sidecar %s in %s at %s", i.ID, i.DataCentre, i.HTTPAddr)
	for range 2 {
		e, err := r.fleet.AddEntry()
		if err != nil {
			return err
		}
		r.entries = append(r.entries, e)
		started = append(started, e)
		r.printf("entry %s in %s at %s", e.ID, e.DataCentre, e.URL())
	}
	ready, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for _, i := range started {
		if err := i.AwaitReady(ready); err != nil {
			return err
		}
	}
	for n := range r.entries {
		err := poll(ctx, func() (bool, error) {
			resp, err := r.send(ctx, n, http.MethodPost, pathChat, gardenKey, chat("ready?", 1, false))
			return resp.status == http.StatusOK, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) complete(ctx context.Context) error {
	resp, err := r.expect(ctx, http.StatusOK, 0, http.MethodPost, pathChat, gardenKey, chat("Who has bean seed?", 8, false))
	r.printf("%s", strings.TrimSpace(resp.body))
	return err
}

func (r *runner) stream(ctx context.Context) error {
	resp, err := r.expect(ctx, http.StatusOK, 1, http.MethodPost, pathChat, gardenKey, chat("Who has bean seed?", 8, true))
	if err != nil {
		return err
	}
	if !strings.HasSuffix(strings.TrimSpace(resp.body), "data: [DONE]") {
		return errors.New("the stream does not end with data: [DONE]")
	}
	r.printf("%d events, the last one: data: [DONE]", strings.Count(resp.body, "data: "))
	return nil
}

func (r *runner) pickup(ctx context.Context) error {
	resp, err := r.expect(ctx, http.StatusOK, 0, http.MethodPost, "/pickups/42", gardenKey, "confirm")
	r.printf("%s", strings.TrimSpace(resp.body))
	return err
}

func (r *runner) refusals(ctx context.Context) error {
	show := func(want int, key, body string) error {
		resp, err := r.expect(ctx, want, 0, http.MethodPost, pathChat, key, body)
		r.printf("%d %s", resp.status, strings.TrimSpace(resp.body))
		return err
	}
	if err := show(http.StatusUnauthorized, "", chat("x", 1, false)); err != nil {
		return err
	}
	if err := show(http.StatusUnauthorized, "no-such-key", chat("x", 1, false)); err != nil {
		return err
	}
	if err := show(http.StatusBadRequest, gardenKey, "{"); err != nil {
		return err
	}
	unknown := strings.Replace(chat("x", 1, false), model, "no-such-model", 1)
	if err := show(http.StatusNotFound, gardenKey, unknown); err != nil {
		return err
	}
	return poll(ctx, func() (bool, error) {
		resp, err := r.send(ctx, 0, http.MethodPost, pathChat, stationKey, chat("x", 1, false))
		if resp.status == http.StatusTooManyRequests {
			r.printf("%d %s", resp.status, strings.TrimSpace(resp.body))
		}
		return resp.status == http.StatusTooManyRequests, err
	})
}

func (r *runner) batch(ctx context.Context) error {
	const items = 20
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"swap-%d","method":"POST","url":%q,"body":%s}`+"\n",
			i, pathChat, chat(fmt.Sprintf("Summarise swap %d.", i), 16, false))
	}
	resp, err := r.expect(ctx, http.StatusOK, 0, http.MethodPost, pathBatches, gardenKey, lines.String())
	if err != nil {
		return err
	}
	var job struct{ ID string }
	if err := json.Unmarshal([]byte(resp.body), &job); err != nil {
		return err
	}
	r.printf("accepted as %s", job.ID)
	err = poll(ctx, func() (bool, error) {
		resp, err := r.send(ctx, 1, http.MethodGet, pathBatches+"/"+job.ID, gardenKey, "")
		return strings.Contains(resp.body, `"status":"completed"`), err
	})
	if err != nil {
		return err
	}
	resp, err = r.expect(ctx, http.StatusOK, 1, http.MethodGet, pathBatches+"/"+job.ID+"/results", gardenKey, "")
	if err != nil {
		return err
	}
	if n := strings.Count(resp.body, `"custom_id"`); n != items {
		return fmt.Errorf("job has %d results, want %d", n, items)
	}
	r.printf("%d results; the first one: %s", items, strings.SplitN(resp.body, "\n", 2)[0])
	return nil
}

func (r *runner) lostEndpoint(ctx context.Context) error {
	const requests = 8
	var wg sync.WaitGroup
	results := make(chan error, requests)
	for n := range requests {
		wg.Go(func() {
			prompt := fmt.Sprintf("Which gate is free at station %d?", n)
			_, err := r.expect(ctx, http.StatusOK, n, http.MethodPost, pathChat, gardenKey, chat(prompt, 64, false))
			results <- err
		})
	}
	r.engines[0].Kill()
	r.printf("%s was killed", r.engines[0].ID)
	wg.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	r.engines[0].Unlist()
	r.printf("%d of %d requests were answered", requests, requests)
	return nil
}

func (r *runner) withdraw(ctx context.Context) error {
	next := state()
	key := next.Keys["garden-1"]
	key.Withdrawn = true
	next.Keys["garden-1"] = key
	if err := r.fleet.Apply(ctx, next); err != nil {
		return err
	}
	for n := range r.entries {
		err := poll(ctx, func() (bool, error) {
			resp, err := r.send(ctx, n, http.MethodPost, pathChat, gardenKey, chat("x", 1, false))
			return resp.status == http.StatusUnauthorized, err
		})
		if err != nil {
			return err
		}
		r.printf("%s refuses it", r.entries[n].ID)
	}
	return nil
}
