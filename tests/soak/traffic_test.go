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

// callTypes are the routes and methods that callers choose from at random.
var callTypes = []struct{ route, method string }{
	{"draft", http.MethodPost}, {"hold", http.MethodPost}, {"check", http.MethodGet}, {"switch", http.MethodGet}, {"lookup", http.MethodPost},
}

// outcome is what a caller observed of one request.
type outcome struct {
	id, route, key string
	host           *host
	sent, ended    time.Time
	deadline       time.Duration // that the caller stated; 0 if the test doesn't need it
	headAt         time.Time     // when the head of the response arrived; zero without a response
	leaving        bool          // the response bears its target's statement that it leaves
	events         int           // requested length of a stream
	hintedEvents   int           // length that the caller expects; 0 for no hint
	promptTokens   int           // 0 for the default
	after          int           // last event that the caller had before; its stream resumes from there
	status         int           // 0 without a response
	retryAfter     string
	signed         bool
	body           string
	err            error // from the request or from reading the response's body
}

// traffic is the set of callers of one cluster.
type traffic struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	recorded []outcome // guarded by mu
}

// startTraffic starts callers. Each sends to one host, on a persistent connection
// that only the host closes.
func (c *cluster) startTraffic() *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{cancel: cancel}
	for _, h := range c.hosts {
		for n := range *callersPerHost {
			tr.wait.Go(func() { tr.runCaller(ctx, c, h, n) })
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
	return tr.recorded
}

// runCaller sends one request after the other until ctx ends, and completes the
// last one.
func (tr *traffic) runCaller(ctx context.Context, c *cluster, h *host, n int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(uint64(n), 2))
	for i := 0; ctx.Err() == nil; i++ {
		callType := callTypes[random.IntN(len(callTypes))]
		keys := c.currentKeys()
		o := outcome{id: fmt.Sprintf("%s-%d-%d", h.name, n, i), route: callType.route, host: h, key: keys[random.IntN(len(keys))], events: 20 + random.IntN(300)}
		if random.IntN(6) == 0 {
			o.key = "key-0" // a caller that continues to use its key after the revocation
		}
		o.send(client, callType.method)
		tr.record(o)
		if o.route == "lookup" && o.err != nil && o.receivedEvents() > 0 {
			o = outcome{id: o.id + "-resumed", route: o.route, host: h, key: o.key, events: o.events, after: o.receivedEvents()}
			o.send(client, callType.method)
			tr.record(o)
		}
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

// record keeps what a caller observed of one request.
func (tr *traffic) record(o outcome) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.recorded = append(tr.recorded, o)
}

// isStream reports whether the request is answered by a stream of events.
func (o *outcome) isStream() bool { return o.route == "draft" || o.route == "lookup" }

// receivedEvents returns how many whole events the caller has.
func (o *outcome) receivedEvents() int { return o.after + strings.Count(o.body, "\n\n") }

// send sends the request once. Its body cannot be rewound, so that the transport
// does not retry it, not even a GET.
func (o *outcome) send(client *http.Client, method string) { o.sendWithin(client, method, callTimeout) }

// sendWithin sends the request once. Its caller waits for the given time.
func (o *outcome) sendWithin(client *http.Client, method string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	r := o.request(ctx, method, timeout)
	o.sent = time.Now()
	defer func() { o.ended = time.Now() }()
	response, err := client.Do(r)
	if err != nil {
		o.err = err
		return
	}
	o.read(response)
}

// request builds the request.
func (o *outcome) request(ctx context.Context, method string, timeout time.Duration) *http.Request {
	body := io.MultiReader(strings.NewReader("content of " + o.id))
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.host.callerAddress+"/"+o.route+"/x", body)
	if err != nil {
		panic(err)
	}
	r.Host = "desk.example"
	call := standin.Call{ID: o.id, APIKey: o.key, Timeout: timeout}
	if o.isStream() {
		call.Events, call.ResumeAfter = o.events, o.after
		call.HintedEvents, call.PromptTokens = o.hintedEvents, o.promptTokens
	}
	call.SetHeaders(r)
	return r
}

// read reads the whole response.
func (o *outcome) read(response *http.Response) {
	o.headAt, o.leaving = time.Now(), standin.Leaving(response.Header)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	o.status, o.err, o.body = response.StatusCode, err, string(text)
	o.signed = standin.Signed(response.Header)
	o.retryAfter = response.Header.Get("Retry-After")
}
