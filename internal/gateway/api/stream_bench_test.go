package api

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/engine"
)

// benchTokens is the length of the generations of the benchmarks.
const benchTokens = 500

// fastEngine streams generations of benchTokens tokens as fast as it can, with
// one flush a token.
func fastEngine(tb testing.TB) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request engine.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		control := http.NewResponseController(w)
		for i := range benchTokens {
			fmt.Fprintf(w, "event: token\ndata: {\"generation\":%q,\"offset\":%d,\"text\":\" word\"}\n\n", request.ID, i)
			_ = control.Flush()
		}
		fmt.Fprintf(w, "event: done\ndata: {\"generation\":%q,\"tokens\":%d,\"reason\":\"stop\"}\n\n", request.ID, benchTokens)
	}))
	tb.Cleanup(server.Close)
	return server
}

// countLines returns the number of lines of the body that contain mark.
func countLines(tb testing.TB, resp *http.Response, mark string) int {
	n := 0
	lines := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		line, err := lines.ReadSlice('\n')
		if bytes.Contains(line, []byte(mark)) {
			n++
		}
		if err != nil {
			return n
		}
	}
}

// BenchmarkStreamDirect reads generations from the engine itself, as the baseline of
// BenchmarkStreamGateway.
func BenchmarkStreamDirect(b *testing.B) {
	e := fastEngine(b)
	body, err := json.Marshal(engine.GenerateRequest{ID: "g"})
	require.NoError(b, err)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			resp, err := e.Client().Post(e.URL, "application/json", bytes.NewReader(body))
			require.NoError(b, err)
			require.Equal(b, benchTokens, countLines(b, resp, `"offset"`))
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)*benchTokens/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkStreamGateway reads generations through the gateway.
func BenchmarkStreamGateway(b *testing.B) {
	e := fastEngine(b)
	g := newTestGateway(b, strings.TrimPrefix(e.URL, "http://"))
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			req, err := http.NewRequest(http.MethodPost, g.server.URL+"/v1/completions", strings.NewReader(`{"model":"writer","prompt":"p","stream":true}`))
			require.NoError(b, err)
			req.Header.Set("Authorization", "Bearer "+bookingKey)
			resp, err := g.server.Client().Do(req)
			require.NoError(b, err)
			require.Equal(b, benchTokens+1, countLines(b, resp, `"offset"`))
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)*benchTokens/b.Elapsed().Seconds(), "tokens/s")
}
