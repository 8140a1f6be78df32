package api

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/engine"
)

const (
	pacedStreams  = 200
	pacedInterval = time.Second * pacedStreams / 12_000 // 12,000 tokens/s in all
	pacedTokens   = 180
)

// pacedEngine sends a token at each interval; the text holds the time of sending.
func pacedEngine(tb testing.TB) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request engine.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		control := http.NewResponseController(w)
		tick := time.NewTicker(pacedInterval)
		defer tick.Stop()
		for i := range pacedTokens {
			<-tick.C
			fmt.Fprintf(w, "event: token\ndata: {\"generation\":%q,\"offset\":%d,\"text\":\"@%d\"}\n\n", request.ID, i, time.Now().UnixNano())
			_ = control.Flush()
		}
		fmt.Fprintf(w, "event: done\ndata: {\"generation\":%q,\"tokens\":%d,\"reason\":\"stop\"}\n\n", request.ID, pacedTokens)
	}))
	tb.Cleanup(server.Close)
	return server
}

// tokenAges reads one stream and returns the age of each token on arrival.
func tokenAges(resp *http.Response) []time.Duration {
	var ages []time.Duration
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if i := bytes.IndexByte(line, '@'); i >= 0 {
			text, _, _ := bytes.Cut(line[i+1:], []byte{'"'})
			if sent, err := strconv.ParseInt(string(text), 10, 64); err == nil {
				ages = append(ages, time.Since(time.Unix(0, sent)))
			}
		}
		if err != nil {
			return ages
		}
	}
}

// measureTokenAge reads pacedStreams streams at once and returns the median and the 99th
// percentile of the ages of all tokens.
func measureTokenAge(b *testing.B, open func() (*http.Response, error)) (p50, p99 time.Duration) {
	var mu sync.Mutex
	var all []time.Duration
	var streams sync.WaitGroup
	for i := range pacedStreams {
		streams.Go(func() {
			time.Sleep(pacedInterval * time.Duration(i) / pacedStreams)
			resp, err := open()
			if err != nil {
				b.Error(err)
				return
			}
			ages := tokenAges(resp)
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			all = append(all, ages...)
		})
	}
	streams.Wait()
	require.Len(b, all, pacedStreams*pacedTokens)
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100]
}

// BenchmarkAddedLatency compares the age of tokens on arrival, at 12,000 tokens/s, for
// callers of the engine itself and for callers of the gateway.
func BenchmarkAddedLatency(b *testing.B) {
	e := pacedEngine(b)
	g := newTestGateway(b, strings.TrimPrefix(e.URL, "http://"))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pacedStreams}}
	for range b.N {
		d50, d99 := measureTokenAge(b, func() (*http.Response, error) {
			return client.Post(e.URL, "application/json", strings.NewReader(`{"id":"g"}`))
		})
		g50, g99 := measureTokenAge(b, func() (*http.Response, error) {
			req, err := http.NewRequest(http.MethodPost, g.server.URL+"/v1/completions", strings.NewReader(`{"model":"writer","prompt":"p","stream":true}`))
			if err != nil {
				return nil, err
			}
			req.Header.Set("Authorization", "Bearer "+bookingKey)
			return client.Do(req)
		})
		b.ReportMetric(float64(d50.Microseconds()), "direct-p50-µs")
		b.ReportMetric(float64(d99.Microseconds()), "direct-p99-µs")
		b.ReportMetric(float64(g50.Microseconds()), "gateway-p50-µs")
		b.ReportMetric(float64(g99.Microseconds()), "gateway-p99-µs")
	}
}
