package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	engineService = "lm-galley"
	draftRoute    = "trip-brief"
	draftWait     = 39 * time.Second // deadline of a draft
	draftEvents   = 40
	eventInterval = 40 * time.Millisecond
	firstEvent    = 1200 * time.Millisecond // from the start to the first event on a crowded engine
)

// engine is a model server that runs each request after a wait.
type engine struct {
	id  string
	f   *fleet
	ran *runs
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	switch {
	case r.URL.Path == "/corianderhitch/report":
		_, _ = fmt.Fprint(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kvUsed":0,"kvTotal":34181,"handles":0}`)
		return
	case r.URL.Path == "/corianderhitch/kv-move":
		w.WriteHeader(http.StatusServiceUnavailable) // no room
		return
	case r.Header.Get("Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.ran.add(id)
	e.f.rec.line("engine %s: takes %s", e.id, id)
	time.Sleep(firstEvent)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := 1; n <= draftEvents && r.Context().Err() == nil; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// startEngines starts two model servers.
func (f *fleet) startEngines(ran *runs) error {
	for _, id := range []string{"i-5be0c3d7", "i-91a4ff20"} {
		address, err := f.listen(&engine{id: id, f: f, ran: ran})
		if err != nil {
			return err
		}
		if err := f.register(id, engineService, address, 24); err != nil {
			return err
		}
	}
	return nil
}

// addDrafts adds the route and the service of the model servers to a configuration.
func addDrafts(c map[string]any) {
	c["routes"] = append(c["routes"].([]any), map[string]any{"name": draftRoute, "host": siteHost, "prefix": "/" + draftRoute + "/", "kind": "streaming",
		"timeoutMs": draftWait.Milliseconds(), "targetLatencyMs": 1800, "gapAimMs": 180, "priority": 1, "service": engineService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false})
	c["services"] = append(c["services"].([]any), map[string]any{"name": engineService, "healthPath": "/healthz", "maxConnections": 232,
		"engine": map[string]any{"slots": 24, "kvCapacity": 34181, "kvTokenBytes": 262144, "linkMbps": 38000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
			"models": []any{map[string]any{"name": "m"}}}})
}
