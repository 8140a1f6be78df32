package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"corianderhitch/platform/standin"
)

const (
	deskService = "booking-desk"
	holdRoute   = "seat-hold"
	clientWait  = time.Second // deadline of a seat hold
)

// Keys of the case. The operator never issued neverIssued.
const (
	firstKey    = "xd9dnn2ctnfzs989anu6"
	secondKey   = "wsjnbanfqasnmgkcuyj8"
	neverIssued = "aaaaaaaaaaaaaaaaaaaa"
)

// deskConfiguration routes seat holds to the desk and gives each tenant its keys.
func deskConfiguration(firstKeys, secondKeys []string) map[string]any {
	return map[string]any{
		"routes": []any{map[string]any{"name": holdRoute, "host": siteHost, "prefix": "/" + holdRoute + "/", "kind": standin.NonIdempotent, "timeoutMs": 1000,
			"targetLatencyMs": 100, "priority": 2, "service": deskService, "maxAttempts": 1, "public": false}},
		"services": []any{map[string]any{"name": deskService, "healthPath": "/healthz", "maxConnections": 96}},
		"limits":   limits(),
		"tenants":  []any{map[string]any{"name": "harbour", "apiKeys": firstKeys}, map[string]any{"name": "school", "apiKeys": secondKeys}},
	}
}

// runs counts how often each request ran at a server. It is safe for concurrent use.
type runs struct {
	mu   sync.Mutex
	byID map[string]int // guarded by mu
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int)
	}
	r.byID[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// sendHold sends one seat hold on a new connection, without a key if key is "", and returns its status.
func sendHold(f *fleet, h *host, id, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+"/"+holdRoute+"/x", nil)
	if err != nil {
		return 0
	}
	r.Host = siteHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		f.rec.line("client: %s to %s, key %q: %v", id, h.name, key, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	f.rec.line("client: %s to %s, key %q: status %d, signature %q, %d bytes", id, h.name, key, response.StatusCode, response.Header.Get("Response-Signature"), len(body))
	return response.StatusCode
}

// withdrawnKeys withdraws the only key of each tenant, and then sends requests with the withdrawn
// keys, with a key that was never issued and without a key.
func withdrawnKeys(f *fleet, trouble bool) ([]string, error) {
	var ran runs
	if err := f.startDesk(&ran, 15*time.Millisecond); err != nil {
		return nil, err
	}
	if err := f.putConfiguration(deskConfiguration([]string{firstKey}, []string{secondKey})); err != nil {
		return nil, err
	}
	for range 2 {
		if _, err := f.startHost(); err != nil {
			return nil, err
		}
	}
	for i, h := range f.hosts {
		if status := sendHold(f, h, fmt.Sprintf("before-%d", i), firstKey); status != http.StatusOK {
			return nil, fmt.Errorf("status %d for a sound request before the disruption", status)
		}
	}
	if trouble {
		for _, second := range [][]string{{secondKey}, {}} { // one key after the other
			if err := f.putConfiguration(deskConfiguration([]string{}, second)); err != nil {
				return nil, err
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	withdrawnAt := time.Now()
	time.Sleep(revokeWithin + time.Second)
	var breaks []string
	check := func(id, key string, allowed bool, rule string) {
		for i, h := range f.hosts {
			request := fmt.Sprintf("%s-%d", id, i)
			sentAfter := time.Since(withdrawnAt)
			sendHold(f, h, request, key)
			if n := ran.of(request); n > 0 && !allowed {
				breaks = append(breaks, fmt.Sprintf("%s: %s ran %d times, sent %.1f s after the last key was withdrawn", rule, request, n, sentAfter.Seconds()))
			}
		}
	}
	check("after-first-key", firstKey, !trouble, "CONFIG")
	check("after-second-key", secondKey, !trouble, "CONFIG")
	check("after-key-never-issued", neverIssued, false, "ROUTE")
	check("after-no-key", "", false, "UNASKED")
	return breaks, nil
}

// startDesk starts two servers of the desk, which record what they run and take so long for it.
func (f *fleet) startDesk(ran *runs, work time.Duration) error {
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4"} {
		address, err := f.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("Request-Id")
			if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if request == "" {
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			ran.add(request)
			f.rec.line("server %s: runs %s, tenant %q", id, request, r.Header.Get("Tenant"))
			time.Sleep(work)
			standin.Succeed(w, r)
		}))
		if err != nil {
			return err
		}
		if err := f.register(id, deskService, address, 6); err != nil {
			return err
		}
	}
	return nil
}
