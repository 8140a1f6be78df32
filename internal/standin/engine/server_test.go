package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/standin/journal"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testEngine is a running engine with an HTTP client.
type testEngine struct {
	server  *Server
	baseURL string
	client  *http.Client
	exited  chan ExitReason
}

func startEngine(t *testing.T, change func(*Options)) *testEngine {
	t.Helper()
	options := Options{
		Model: enginemodel.Config{
			Name: "e1", Loaded: []apiengine.Loaded{{Model: "m", Version: "1"}},
			StepBase: time.Millisecond, StepPerSequence: time.Microsecond, StepPerPrefillToken: time.Microsecond,
		},
		Log: logging.Discard(),
	}
	f := &testEngine{exited: make(chan ExitReason, 1), client: &http.Client{Transport: &http.Transport{}}}
	options.OnExit = func(reason ExitReason) { f.exited <- reason }
	if change != nil {
		change(&options)
	}
	f.server = New(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.server.Run(ctx)
	}()
	web := httptest.NewServer(f.server.Handler())
	f.baseURL = web.URL
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		web.CloseClientConnections()
		web.Close()
		cancel()
		<-stopped
	})
	return f
}

func (f *testEngine) do(t *testing.T, method, path string, body any) *http.Response {
	t.Helper()
	encoded, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), method, f.baseURL+path, bytes.NewReader(encoded))
	require.NoError(t, err)
	response, err := f.client.Do(request)
	require.NoError(t, err)
	return response
}

func (f *testEngine) requestJSON(t *testing.T, method, path string, body, reply any) {
	t.Helper()
	response := f.do(t, method, path, body)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, json.NewDecoder(response.Body).Decode(reply))
}

func (f *testEngine) requestProblem(t *testing.T, method, path string, body any) problem.Document {
	t.Helper()
	response := f.do(t, method, path, body)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, problem.ContentType, response.Header.Get("Content-Type"))
	var d problem.Document
	require.NoError(t, json.NewDecoder(response.Body).Decode(&d))
	return d
}

func generateRequest(id, prompt string) apiengine.GenerateRequest {
	return apiengine.GenerateRequest{ID: id, RequestID: "r-" + id, Model: "m", Version: "1", Prompt: prompt}
}

// streamReader reads server-sent events.
type streamReader struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

func newStreamReader(t *testing.T, response *http.Response) *streamReader {
	t.Helper()
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	return &streamReader{body: response.Body, lines: bufio.NewScanner(response.Body)}
}

// nextEvent returns the next event, or an empty name at the end of the stream.
func (r *streamReader) nextEvent() (name, data string) {
	for r.lines.Scan() {
		line := r.lines.Text()
		switch {
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "":
			return name, data
		}
	}
	return "", ""
}

// readToEnd reads the stream to its end and returns the text of the tokens, whose
// offsets must count up from offset.
func (r *streamReader) readToEnd(t *testing.T, offset int) (string, apiengine.Done) {
	t.Helper()
	defer func() { _ = r.body.Close() }()
	var text strings.Builder
	for {
		name, data := r.nextEvent()
		switch name {
		case "token":
			var token apiengine.Token
			require.NoError(t, json.Unmarshal([]byte(data), &token))
			require.Equal(t, offset, token.Offset)
			offset++
			text.WriteString(token.Text)
		case "done":
			var done apiengine.Done
			require.NoError(t, json.Unmarshal([]byte(data), &done))
			require.Equal(t, offset, done.Tokens)
			last, _ := r.nextEvent()
			require.Empty(t, last, "no event may follow done")
			return text.String(), done
		default:
			require.Fail(t, "stream ended without a done event")
		}
	}
}

func TestStreamContainsEveryToken(t *testing.T) {
	f := startEngine(t, nil)
	text, done := newStreamReader(t, f.do(t, http.MethodPost, "/v1/generations", generateRequest("g/\"1\"", "#len=700"))).readToEnd(t, 0)
	n, err := enginemodel.CheckText(text, enginemodel.Identity{Generation: "g/\"1\"", Model: "m", Version: "1"}.Tag())
	require.NoError(t, err)
	require.Equal(t, 700, n)
	require.Equal(t, apiengine.Done{Generation: "g/\"1\"", Tokens: 700, Reason: apiengine.FinishStop}, done)
	last, _ := newStreamReader(t, f.do(t, http.MethodGet, "/v1/generations/"+url.PathEscape("g/\"1\"")+"?offset=699", nil)).readToEnd(t, 699)
	require.True(t, strings.HasSuffix(text, last))
}

func TestReadersAttachDuringAndAfterGeneration(t *testing.T) {
	f := startEngine(t, nil)
	first := newStreamReader(t, f.do(t, http.MethodPost, "/v1/generations", generateRequest("g", "#len=100")))
	name, _ := first.nextEvent()
	require.Equal(t, "token", name)
	require.NoError(t, first.body.Close(), "the generation must continue after a reader disconnects")
	same := newStreamReader(t, f.do(t, http.MethodPost, "/v1/generations", generateRequest("g", "#len=100")))
	during := newStreamReader(t, f.do(t, http.MethodGet, "/v1/generations/g?offset=40", nil))
	text, _ := same.readToEnd(t, 0)
	later, _ := during.readToEnd(t, 40)
	require.True(t, strings.HasSuffix(text, later))
	after, done := newStreamReader(t, f.do(t, http.MethodGet, "/v1/generations/g?offset=99", nil)).readToEnd(t, 99)
	require.True(t, strings.HasSuffix(text, after))
	require.Equal(t, 100, done.Tokens)
	_, done = newStreamReader(t, f.do(t, http.MethodGet, "/v1/generations/g?offset=100", nil)).readToEnd(t, 100)
	require.Equal(t, 100, done.Tokens)
	starts := 0
	for _, e := range f.server.journalEntries(0) {
		if e.Kind == EntryStart {
			starts++
			require.Equal(t, "r-g", e.RequestID)
			require.Equal(t, 100, e.Tokens)
		}
	}
	require.Equal(t, 1, starts, "one id must be started once")
}

func TestGenerationContinuesFromPrefixOfAnotherEngine(t *testing.T) {
	first, second := startEngine(t, nil), startEngine(t, nil)
	fullText, _ := newStreamReader(t, first.do(t, http.MethodPost, "/v1/generations", generateRequest("g", "#len=30"))).readToEnd(t, 0)
	r := generateRequest("g", "#len=30")
	for i := range 10 {
		r.Prefix = append(r.Prefix, enginemodel.TokenText(enginemodel.Identity{Generation: "g", Model: "m", Version: "1"}, i))
	}
	r.Offset = 10
	rest, done := newStreamReader(t, second.do(t, http.MethodPost, "/v1/generations", r)).readToEnd(t, 10)
	require.Equal(t, 30, done.Tokens)
	require.Equal(t, fullText, strings.Join(r.Prefix, "")+rest)
}

// readReconnecting reads a generation over many connections, each of which it closes
// after a few tokens.
func (f *testEngine) readReconnecting(t *testing.T, r apiengine.GenerateRequest) (string, apiengine.Done) {
	var text strings.Builder
	response := f.do(t, http.MethodPost, "/v1/generations", r)
	for offset := 0; ; {
		stream := newStreamReader(t, response)
		for range 1 + offset%9 {
			name, data := stream.nextEvent()
			if name == "done" {
				var done apiengine.Done
				require.NoError(t, json.Unmarshal([]byte(data), &done))
				require.NoError(t, stream.body.Close())
				return text.String(), done
			}
			var token apiengine.Token
			require.NoError(t, json.Unmarshal([]byte(data), &token))
			text.WriteString(token.Text)
			offset++
		}
		require.NoError(t, stream.body.Close())
		response = f.do(t, http.MethodGet, fmt.Sprintf("/v1/generations/%s?offset=%d", r.ID, offset), nil)
	}
}

func TestReconnectingReadersMissNoTokensUnderPreemption(t *testing.T) {
	f := startEngine(t, func(o *Options) { o.Model.TotalBlocks = 6 })
	const generations = 8
	var readers sync.WaitGroup
	for i := range generations {
		readers.Go(func() {
			r := generateRequest(fmt.Sprint("g", i), "#len=150")
			text, done := f.readReconnecting(t, r)
			n, err := enginemodel.CheckText(text, enginemodel.Identity{Generation: r.ID, Model: "m", Version: "1"}.Tag())
			assert.NoError(t, err)
			assert.Equal(t, 150, n)
			assert.Equal(t, 150, done.Tokens)
		})
	}
	readers.Wait()
	var state State
	f.requestJSON(t, http.MethodGet, "/admin/state", nil, &state)
	require.Positive(t, state.Stats.Preemptions)
	require.EqualValues(t, generations*150, state.Stats.Tokens)
	require.Len(t, f.server.journalEntries(0), 2*generations, "each generation needs one start and one end entry")
}

func TestCancelEndsTheStream(t *testing.T) {
	f := startEngine(t, nil)
	stream := newStreamReader(t, f.do(t, http.MethodPost, "/v1/generations", generateRequest("g", "#len=1000000")))
	name, _ := stream.nextEvent()
	require.Equal(t, "token", name)
	for range 2 {
		response := f.do(t, http.MethodDelete, "/v1/generations/g", nil)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusNoContent, response.StatusCode)
	}
	_, done := stream.readToEnd(t, 1)
	require.Equal(t, apiengine.FinishCanceled, done.Reason)
}

func TestRejectionsAreProblemDocuments(t *testing.T) {
	f := startEngine(t, nil)
	other := generateRequest("g", "x")
	other.Version = "9"
	rejection := f.requestProblem(t, http.MethodPost, "/v1/generations", other)
	require.Equal(t, problem.KindUnknownModel, rejection.Kind)
	require.Equal(t, problem.RanNo, rejection.Ran)
	require.Equal(t, problem.KindBadRequest, f.requestProblem(t, http.MethodPost, "/v1/generations", map[string]int{"idd": 1}).Kind)
	require.Equal(t, problem.KindBadRequest, f.requestProblem(t, http.MethodGet, "/v1/generations/g?offset=-1", nil).Kind)
	unknown := f.requestProblem(t, http.MethodGet, "/v1/generations/none", nil)
	require.Equal(t, problem.KindNotFound, unknown.Kind)
	require.Equal(t, problem.RanUnknown, unknown.Ran)
	order := apiengine.Order{ID: "a", Fence: 2, Kind: apiengine.OrderLoad, Model: "m", Version: "2"}
	var result apiengine.OrderResult
	f.requestJSON(t, http.MethodPost, "/v1/orders", order, &result)
	require.True(t, result.Applied)
	order.ID, order.Fence = "b", 1
	require.Equal(t, problem.KindConflict, f.requestProblem(t, http.MethodPost, "/v1/orders", order).Kind)
	var state apiengine.OrderState
	f.requestJSON(t, http.MethodGet, "/v1/orders", nil, &state)
	require.EqualValues(t, 2, state.HighestFence)
	require.Len(t, state.Applied, 1)
}

func TestReclaimRejectsNewGenerationsThenAbortsStreams(t *testing.T) {
	f := startEngine(t, nil)
	stream := newStreamReader(t, f.do(t, http.MethodPost, "/v1/generations", generateRequest("g", "#len=1000000")))
	f.requestJSON(t, http.MethodPost, "/admin/reclaim", Reclaim{Notice: 50 * time.Millisecond}, &Reclaim{})
	require.Equal(t, problem.KindDraining, f.requestProblem(t, http.MethodPost, "/v1/generations", generateRequest("h", "x")).Kind)
	require.Equal(t, ExitReclaimed, <-f.exited)
	for name := "token"; name != ""; name, _ = stream.nextEvent() {
		require.Equal(t, "token", name)
	}
	require.Error(t, stream.lines.Err(), "the connection must be aborted, not closed in order")
	require.NoError(t, stream.body.Close())
}

func TestJournalFileSurvivesCrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	entries, err := journal.Open[Entry](path)
	require.NoError(t, err)
	f := startEngine(t, func(o *Options) { o.Journal = entries })
	stream := newStreamReader(t, f.do(t, http.MethodPost, "/v1/generations", generateRequest("g", "boom #crash")))
	require.Equal(t, ExitCrashed, <-f.exited)
	name, _ := stream.nextEvent()
	require.Empty(t, name)
	require.NoError(t, stream.body.Close())
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	var kinds []EntryKind
	for line := range strings.Lines(string(content)) {
		var e Entry
		require.NoError(t, json.Unmarshal([]byte(line), &e))
		require.Equal(t, "g", e.Generation)
		require.Equal(t, len(kinds)+1, e.Number)
		kinds = append(kinds, e.Kind)
	}
	require.Equal(t, []EntryKind{EntryStart, EntryCrash}, kinds)
	require.NoError(t, entries.Close())
}

func TestEndedGenerationsAreRemovedAfterRetention(t *testing.T) {
	f := startEngine(t, func(o *Options) { o.Retention = time.Millisecond })
	newStreamReader(t, f.do(t, http.MethodPost, "/v1/generations", generateRequest("g", "#len=1"))).readToEnd(t, 0)
	f.server.step(time.Now().Add(time.Hour))
	require.Equal(t, problem.KindNotFound, f.requestProblem(t, http.MethodGet, "/v1/generations/g", nil).Kind)
}

func TestAdminChangesTheModel(t *testing.T) {
	f := startEngine(t, nil)
	f.requestJSON(t, http.MethodPut, "/admin/memory", Memory{Blocks: 7}, &Memory{})
	f.requestJSON(t, http.MethodPut, "/admin/leaving", Leaving{Leaving: true}, &Leaving{})
	f.requestJSON(t, http.MethodPut, "/admin/cache-loss", CacheLoss{Next: 3}, &CacheLoss{})
	f.requestJSON(t, http.MethodPut, "/admin/slowdown", Slowdown{Factor: 2}, &Slowdown{})
	var state State
	f.requestJSON(t, http.MethodGet, "/admin/state", nil, &state)
	require.Equal(t, 7, state.Load.TotalBlocks)
	require.True(t, state.Load.Leaving)
	var events apiengine.CacheEvents
	f.requestJSON(t, http.MethodGet, "/v1/cache-events?after=0", nil, &events)
	require.Empty(t, events.Events)
	var report apiengine.LoadReport
	f.requestJSON(t, http.MethodGet, "/v1/load", nil, &report)
	require.Equal(t, "e1", report.Target)
	var entries []Entry
	f.requestJSON(t, http.MethodGet, "/admin/journal", nil, &entries)
	require.Empty(t, entries)
}

func TestParseModels(t *testing.T) {
	loaded, err := parseModels([]string{"writer@2+briefing+report", "sorter@1"})
	require.NoError(t, err)
	require.Equal(t, []apiengine.Loaded{
		{Model: "writer", Version: "2", Adapters: []string{"briefing", "report"}},
		{Model: "sorter", Version: "1", Adapters: []string{}},
	}, loaded)
	for _, bad := range []string{"writer", "@1", "writer@", "writer@+a"} {
		_, err := parseModels([]string{bad})
		require.ErrorContains(t, err, "write name@version", bad)
	}
}

// BenchmarkTokenStreams measures the cost of a token from the model's step to the
// client, with 32 streams on one engine.
func BenchmarkTokenStreams(b *testing.B) {
	server := New(Options{
		Model: enginemodel.Config{
			Name: "e1", Loaded: []apiengine.Loaded{{Model: "m", Version: "1"}},
			StepBase: time.Microsecond, StepPerSequence: time.Nanosecond, StepPerPrefillToken: time.Nanosecond,
		},
		Log: logging.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go server.Run(ctx)
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	const streams = 32
	done := make(chan error, streams)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range streams {
		go func() {
			body, _ := json.Marshal(generateRequest(fmt.Sprint(i), fmt.Sprintf("#len=%d", max(1, b.N/streams))))
			response, err := http.Post(web.URL+"/v1/generations", "application/json", bytes.NewReader(body))
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			done <- err
		}()
	}
	for range streams {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
}
