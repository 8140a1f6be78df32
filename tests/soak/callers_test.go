package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"corianderhitch/platform/standin"
)

// kindsOfCall are drawn by callers: route and method.
var kindsOfCall = []struct{ route, method string }{
	{"draft", http.MethodPost}, {"hold", http.MethodPost}, {"check", http.MethodGet}, {"switch", http.MethodGet},
}

// outcome is what a caller saw of one request.
type outcome struct {
	id, route, key string
	host           *host
	sent, ended    time.Time
	events         int // of a draft
	status         int // 0 without an answer
	retryAfter     string
	signed         bool
	body           string
	err            error // of the request, or of its answer's body
}

// traffic is the callers of one world.
type traffic struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu  sync.Mutex
	all []outcome // guarded by mu
}

// call starts callers that stay with one host each, on a connection that they
// keep until the host closes it.
func (w *world) call() *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{cancel: cancel}
	for _, h := range w.hosts {
		for n := range *callers {
			tr.wait.Go(func() { tr.caller(ctx, w, h, n) })
		}
	}
	return tr
}

func (tr *traffic) stop() {
	tr.cancel()
	tr.wait.Wait()
}

func (tr *traffic) outcomes() []outcome {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.all
}

// caller sends one request after the other. It lets the last one end.
func (tr *traffic) caller(ctx context.Context, w *world, h *host, n int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(uint64(n), 2))
	for i := 0; ctx.Err() == nil; i++ {
		kind := kindsOfCall[random.IntN(len(kindsOfCall))]
		keys := w.currentKeys()
		o := outcome{id: fmt.Sprintf("%s-%d-%d", h.name, n, i), route: kind.route, host: h, key: keys[random.IntN(len(keys))], events: 20 + random.IntN(300)}
		if random.IntN(6) == 0 {
			o.key = "key-0" // of a caller that learns late of its withdrawal
		}
		o.run(client, kind.method)
		tr.mu.Lock()
		tr.all = append(tr.all, o)
		tr.mu.Unlock()
		pause := 10 * time.Millisecond
		if o.status == 0 || o.status >= http.StatusBadRequest {
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// run sends the request once. The transport must not send it again, also not a
// GET: it has a body that cannot be rewound.
func (o *outcome) run(client *http.Client, method string) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline+time.Second)
	defer cancel()
	body := io.MultiReader(strings.NewReader("content of " + o.id))
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.host.front+"/"+o.route+"/x", body)
	if err != nil {
		panic(err)
	}
	r.Host = "desk.example"
	call := standin.Call{ID: o.id, APIKey: o.key, Timeout: callDeadline}
	if o.route == "draft" {
		call.Events = o.events
	}
	call.SetHeaders(r)
	o.sent = time.Now()
	defer func() { o.ended = time.Now() }()
	response, err := client.Do(r)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	o.status, o.err, o.body = response.StatusCode, err, string(text)
	o.signed = standin.Signed(response.Header)
	o.retryAfter = response.Header.Get("Retry-After")
}
