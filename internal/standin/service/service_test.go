package service

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/standin/journal"
)

// startService starts a service and returns it with its base URL.
func startService(t *testing.T, options Options) (*Server, string) {
	t.Helper()
	options.Name, options.Log = "s1", logging.Discard()
	server := New(options)
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	return server, web.URL
}

// postHold sends a seat hold and returns status and body, or an error if there was no
// response.
func postHold(t *testing.T, base, key, body string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/seat-holds", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content), nil
}

func TestUnframedAnswerIsWholeOrReset(t *testing.T) {
	server, base := startService(t, Options{})
	server.fault = Fault{UnframedNext: 1, BrokenNext: 1}
	status, body, err := postHold(t, base, "k-1", `{"berth":"a"}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"service":"s1","execution":1,"subject":"a"}`, body)
	response, err := http.Post(base+"/seat-holds", "application/json", strings.NewReader(`{"berth":"b"}`))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	part, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.NotEmpty(t, part)
	require.EqualValues(t, -1, response.ContentLength)
	require.Empty(t, response.TransferEncoding)
}

func putJSON(t *testing.T, url string, body any) {
	t.Helper()
	encoded, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(string(encoded)))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestRepeatedCallsAreExecutedAgainAndJournaled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	entries, err := journal.Open[Entry](path)
	require.NoError(t, err)
	_, base := startService(t, Options{Journal: entries})
	for i := range 2 {
		status, body, err := postHold(t, base, "k", `{"berth":"b"}`)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		var executed Executed
		require.NoError(t, json.Unmarshal([]byte(body), &executed))
		require.Equal(t, Executed{Service: "s1", Execution: i + 1, Subject: "b"}, executed)
	}
	response, err := http.Get(base + "/availability?berth=b")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var availability Availability
	require.NoError(t, json.NewDecoder(response.Body).Decode(&availability))
	require.Equal(t, map[string]int{"b": 2}, availability.Holds)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(string(content), "\n"))
	require.Equal(t, 2, strings.Count(string(content), `"key":"k"`))
	require.NoError(t, entries.Close())
}

func TestInjectedFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    Fault
		status   int // 0 if there is no response
		ran      problem.Ran
		executed bool
	}{
		{"healthy", Fault{}, http.StatusOK, "", true},
		{"rejected", Fault{RejectNext: 1}, http.StatusServiceUnavailable, problem.RanNo, false},
		{"internal error", Fault{FailNext: 1}, http.StatusInternalServerError, "", true},
		{"response dropped", Fault{DropResponseNext: 1}, 0, "", true},
		{"request dropped", Fault{DropRequestNext: 1}, 0, "", false},
		{"crashed after running", Fault{CrashNext: 1}, 0, "", true},
		{"another path", Fault{DropResponseNext: 1, PathPrefix: "/dispatches"}, http.StatusOK, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var exits atomic.Int64
			server, base := startService(t, Options{Exit: func() { exits.Add(1) }})
			putJSON(t, base+"/admin/fault", test.fault)
			status, body, err := postHold(t, base, "k", `{"berth":"b"}`)
			require.Equal(t, test.status == 0, err != nil)
			require.Equal(t, test.status, status)
			if test.ran != "" {
				var d problem.Document
				require.NoError(t, json.Unmarshal([]byte(body), &d))
				require.Equal(t, test.ran, d.Ran)
			}
			require.Equal(t, test.executed, len(server.options.Journal.After(0)) == 1)
			require.EqualValues(t, test.fault.CrashNext, exits.Load())
			status, _, err = postHold(t, base, "k2", `{"berth":"c"}`)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, "the fault must affect one call only")
		})
	}
}

func TestLeavingServiceRejectsWithoutRunning(t *testing.T) {
	var reportedLeaving atomic.Bool
	server, base := startService(t, Options{OnLeaving: func(leaving bool) { reportedLeaving.Store(leaving) }})
	putJSON(t, base+"/admin/leaving", Leaving{Leaving: true})
	require.True(t, reportedLeaving.Load())
	status, body, err := postHold(t, base, "k", `{"berth":"b"}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"kind":"draining"`)
	require.Contains(t, body, `"ran":"no"`)
	response, err := http.Get(base + "/readyz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, server.options.Journal.After(0))
}

func TestInvalidBodiesAreNotExecuted(t *testing.T) {
	server, base := startService(t, Options{})
	for _, body := range []string{"", "{}", `{"berth":1}`, `{"berth":"b","x":1}`, `[`} {
		status, _, err := postHold(t, base, "k", body)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, status, body)
	}
	require.Empty(t, server.options.Journal.After(0))
}
