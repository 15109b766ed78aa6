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

func (t *tour) start(ctx context.Context) error {
	var started []*fleet.Instance
	for range 2 {
		i, _, err := t.fleet.AddEngine("assistant")
		if err != nil {
			return err
		}
		t.engines = append(t.engines, i)
		started = append(started, i)
		t.say("engine with sidecar %s in %s at %s", i.ID, i.DataCentre, i.HTTPAddr)
	}
	i, _, err := t.fleet.AddPlain("pickups")
	if err != nil {
		return err
	}
	started = append(started, i)
	t.say("plain service with sidecar %s in %s at %s", i.ID, i.DataCentre, i.HTTPAddr)
	for range 2 {
		e, err := t.fleet.AddEntry()
		if err != nil {
			return err
		}
		t.entries = append(t.entries, e)
		started = append(started, e)
		t.say("entry %s in %s at %s", e.ID, e.DataCentre, e.URL())
	}
	ready, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for _, i := range started {
		if err := i.AwaitReady(ready); err != nil {
			return err
		}
	}
	for n := range t.entries {
		err := until(ctx, func() (bool, error) {
			a, err := t.send(ctx, n, http.MethodPost, pathChat, gardenKey, chat("ready?", 1, false))
			return a.status == http.StatusOK, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) whole(ctx context.Context) error {
	a, err := t.expect(ctx, http.StatusOK, 0, http.MethodPost, pathChat, gardenKey, chat("Who has bean seed?", 8, false))
	t.say("%s", strings.TrimSpace(a.body))
	return err
}

func (t *tour) stream(ctx context.Context) error {
	a, err := t.expect(ctx, http.StatusOK, 1, http.MethodPost, pathChat, gardenKey, chat("Who has bean seed?", 8, true))
	if err != nil {
		return err
	}
	if !strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]") {
		return errors.New("the stream is not whole")
	}
	t.say("%d events, the last one: data: [DONE]", strings.Count(a.body, "data: "))
	return nil
}

func (t *tour) pickup(ctx context.Context) error {
	a, err := t.expect(ctx, http.StatusOK, 0, http.MethodPost, "/pickups/42", gardenKey, "confirm")
	t.say("%s", strings.TrimSpace(a.body))
	return err
}

func (t *tour) refusals(ctx context.Context) error {
	show := func(want int, key, body string) error {
		a, err := t.expect(ctx, want, 0, http.MethodPost, pathChat, key, body)
		t.say("%d %s", a.status, strings.TrimSpace(a.body))
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
	return until(ctx, func() (bool, error) {
		a, err := t.send(ctx, 0, http.MethodPost, pathChat, riderKey, chat("x", 1, false))
		if a.status == http.StatusTooManyRequests {
			t.say("%d %s", a.status, strings.TrimSpace(a.body))
		}
		return a.status == http.StatusTooManyRequests, err
	})
}

func (t *tour) batch(ctx context.Context) error {
	const items = 20
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"swap-%d","method":"POST","url":%q,"body":%s}`+"\n",
			i, pathChat, chat(fmt.Sprintf("Summarise swap %d.", i), 16, false))
	}
	a, err := t.expect(ctx, http.StatusOK, 0, http.MethodPost, pathBatches, gardenKey, lines.String())
	if err != nil {
		return err
	}
	var job struct{ ID string }
	if err := json.Unmarshal([]byte(a.body), &job); err != nil {
		return err
	}
	t.say("accepted as %s", job.ID)
	err = until(ctx, func() (bool, error) {
		a, err := t.send(ctx, 1, http.MethodGet, pathBatches+"/"+job.ID, gardenKey, "")
		return strings.Contains(a.body, `"status":"completed"`), err
	})
	if err != nil {
		return err
	}
	a, err = t.expect(ctx, http.StatusOK, 1, http.MethodGet, pathBatches+"/"+job.ID+"/results", gardenKey, "")
	if err != nil {
		return err
	}
	if n := strings.Count(a.body, `"custom_id"`); n != items {
		return fmt.Errorf("%d results instead of %d", n, items)
	}
	t.say("%d results; the first one: %s", items, strings.SplitN(a.body, "\n", 2)[0])
	return nil
}

func (t *tour) lostEndpoint(ctx context.Context) error {
	const requests = 8
	var wg sync.WaitGroup
	results := make(chan error, requests)
	for n := range requests {
		wg.Go(func() {
			prompt := fmt.Sprintf("Which gate is free at station %d?", n)
			_, err := t.expect(ctx, http.StatusOK, n, http.MethodPost, pathChat, gardenKey, chat(prompt, 64, false))
			results <- err
		})
	}
	t.engines[0].Kill()
	t.say("%s was killed", t.engines[0].ID)
	wg.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	t.engines[0].Unlist()
	t.say("%d of %d requests were answered", requests, requests)
	return nil
}

func (t *tour) withdraw(ctx context.Context) error {
	next := state()
	key := next.Keys["garden-1"]
	key.Withdrawn = true
	next.Keys["garden-1"] = key
	if err := t.fleet.Apply(ctx, next); err != nil {
		return err
	}
	for n := range t.entries {
		err := until(ctx, func() (bool, error) {
			a, err := t.send(ctx, n, http.MethodPost, pathChat, gardenKey, chat("x", 1, false))
			return a.status == http.StatusUnauthorized, err
		})
		if err != nil {
			return err
		}
		t.say("%s refuses it", t.entries[n].ID)
	}
	return nil
}
