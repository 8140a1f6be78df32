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

// fixture is a running engine with its client.
type fixture struct {
	server *Server
	base   string
	client *http.Client
	ended  chan End
}

func start(t *testing.T, change func(*Options)) *fixture {
	t.Helper()
	options := Options{
		Model: enginemodel.Config{
			Name: "e1", Loaded: []apiengine.Loaded{{Model: "m", Version: "1"}},
			StepBase: time.Millisecond, StepPerSequence: time.Microsecond, StepPerPrefillToken: time.Microsecond,
		},
		Log: logging.Discard(),
	}
	f := &fixture{ended: make(chan End, 1), client: &http.Client{Transport: &http.Transport{}}}
	options.OnEnd = func(end End) { f.ended <- end }
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
	f.base = web.URL
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		web.CloseClientConnections()
		web.Close()
		cancel()
		<-stopped
	})
	return f
}

func (f *fixture) do(t *testing.T, method, path string, body any) *http.Response {
	t.Helper()
	encoded, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), method, f.base+path, bytes.NewReader(encoded))
	require.NoError(t, err)
	response, err := f.client.Do(request)
	require.NoError(t, err)
	return response
}

func (f *fixture) json(t *testing.T, method, path string, body, answer any) {
	t.Helper()
	response := f.do(t, method, path, body)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, json.NewDecoder(response.Body).Decode(answer))
}

func (f *fixture) refusal(t *testing.T, method, path string, body any) problem.Document {
	t.Helper()
	response := f.do(t, method, path, body)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, problem.ContentType, response.Header.Get("Content-Type"))
	var d problem.Document
	require.NoError(t, json.NewDecoder(response.Body).Decode(&d))
	return d
}

func generate(id, prompt string) apiengine.GenerateRequest {
	return apiengine.GenerateRequest{ID: id, RequestID: "r-" + id, Model: "m", Version: "1", Prompt: prompt}
}

// reader reads a stream of events.
type reader struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

func newReader(t *testing.T, response *http.Response) *reader {
	t.Helper()
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	return &reader{body: response.Body, lines: bufio.NewScanner(response.Body)}
}

// next returns the next event, or an empty name at the end of the stream.
func (r *reader) next() (name, data string) {
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

// rest reads to the end and returns the tokens from an offset on.
func (r *reader) rest(t *testing.T, offset int) (string, apiengine.Done) {
	t.Helper()
	defer func() { _ = r.body.Close() }()
	var text strings.Builder
	for {
		name, data := r.next()
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
			last, _ := r.next()
			require.Empty(t, last, "nothing follows")
			return text.String(), done
		default:
			require.Fail(t, "stream ended early")
		}
	}
}

func TestStreamHasEveryToken(t *testing.T) {
	f := start(t, nil)
	text, done := newReader(t, f.do(t, http.MethodPost, "/v1/generations", generate("g/\"1\"", "#len=700"))).rest(t, 0)
	n, err := enginemodel.CheckText(text, enginemodel.Identity{Generation: "g/\"1\"", Model: "m", Version: "1"}.Tag())
	require.NoError(t, err)
	require.Equal(t, 700, n)
	require.Equal(t, apiengine.Done{Generation: "g/\"1\"", Tokens: 700, Reason: apiengine.FinishStop}, done)
	last, _ := newReader(t, f.do(t, http.MethodGet, "/v1/generations/"+url.PathEscape("g/\"1\"")+"?offset=699", nil)).rest(t, 699)
	require.True(t, strings.HasSuffix(text, last))
}

func TestManyReadersAttachDuringAndAfter(t *testing.T) {
	f := start(t, nil)
	first := newReader(t, f.do(t, http.MethodPost, "/v1/generations", generate("g", "#len=100")))
	name, _ := first.next()
	require.Equal(t, "token", name)
	require.NoError(t, first.body.Close(), "a reader that goes away leaves the generation running")
	same := newReader(t, f.do(t, http.MethodPost, "/v1/generations", generate("g", "#len=100")))
	during := newReader(t, f.do(t, http.MethodGet, "/v1/generations/g?offset=40", nil))
	text, _ := same.rest(t, 0)
	later, _ := during.rest(t, 40)
	require.True(t, strings.HasSuffix(text, later))
	after, done := newReader(t, f.do(t, http.MethodGet, "/v1/generations/g?offset=99", nil)).rest(t, 99)
	require.True(t, strings.HasSuffix(text, after))
	require.Equal(t, 100, done.Tokens)
	_, done = newReader(t, f.do(t, http.MethodGet, "/v1/generations/g?offset=100", nil)).rest(t, 100)
	require.Equal(t, 100, done.Tokens)
	starts := 0
	for _, e := range f.server.entries(0) {
		if e.Kind == EntryStart {
			starts++
			require.Equal(t, "r-g", e.RequestID)
			require.Equal(t, 100, e.Tokens)
		}
	}
	require.Equal(t, 1, starts, "the same id ran once")
}

func TestContinuesFromPrefixOfAnotherEngine(t *testing.T) {
	first, second := start(t, nil), start(t, nil)
	whole, _ := newReader(t, first.do(t, http.MethodPost, "/v1/generations", generate("g", "#len=30"))).rest(t, 0)
	r := generate("g", "#len=30")
	for i := range 10 {
		r.Prefix = append(r.Prefix, enginemodel.TokenText(enginemodel.Identity{Generation: "g", Model: "m", Version: "1"}, i))
	}
	r.Offset = 10
	rest, done := newReader(t, second.do(t, http.MethodPost, "/v1/generations", r)).rest(t, 10)
	require.Equal(t, 30, done.Tokens)
	require.Equal(t, whole, strings.Join(r.Prefix, "")+rest)
}

// readInParts reads a generation over many connections, each cut after a few
// tokens.
func (f *fixture) readInParts(t *testing.T, r apiengine.GenerateRequest) (string, apiengine.Done) {
	var text strings.Builder
	response := f.do(t, http.MethodPost, "/v1/generations", r)
	for offset := 0; ; {
		stream := newReader(t, response)
		for range 1 + offset%9 {
			name, data := stream.next()
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

func TestReconnectingReadersLoseNothingUnderPreemption(t *testing.T) {
	f := start(t, func(o *Options) { o.Model.TotalBlocks = 6 })
	const generations = 8
	var readers sync.WaitGroup
	for i := range generations {
		readers.Go(func() {
			r := generate(fmt.Sprint("g", i), "#len=150")
			text, done := f.readInParts(t, r)
			n, err := enginemodel.CheckText(text, enginemodel.Identity{Generation: r.ID, Model: "m", Version: "1"}.Tag())
			assert.NoError(t, err)
			assert.Equal(t, 150, n)
			assert.Equal(t, 150, done.Tokens)
		})
	}
	readers.Wait()
	var state State
	f.json(t, http.MethodGet, "/admin/state", nil, &state)
	require.Positive(t, state.Stats.Preemptions)
	require.EqualValues(t, generations*150, state.Stats.Tokens)
	require.Len(t, f.server.entries(0), 2*generations, "one start and one end each")
}

func TestCancelEndsTheStream(t *testing.T) {
	f := start(t, nil)
	stream := newReader(t, f.do(t, http.MethodPost, "/v1/generations", generate("g", "#len=1000000")))
	name, _ := stream.next()
	require.Equal(t, "token", name)
	for range 2 {
		response := f.do(t, http.MethodDelete, "/v1/generations/g", nil)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusNoContent, response.StatusCode)
	}
	_, done := stream.rest(t, 1)
	require.Equal(t, apiengine.FinishCanceled, done.Reason)
}

func TestRefusalsAreProblems(t *testing.T) {
	f := start(t, nil)
	other := generate("g", "x")
	other.Version = "9"
	refused := f.refusal(t, http.MethodPost, "/v1/generations", other)
	require.Equal(t, problem.KindUnknownModel, refused.Kind)
	require.Equal(t, problem.RanNo, refused.Ran)
	require.Equal(t, problem.KindBadRequest, f.refusal(t, http.MethodPost, "/v1/generations", map[string]int{"idd": 1}).Kind)
	require.Equal(t, problem.KindBadRequest, f.refusal(t, http.MethodGet, "/v1/generations/g?offset=-1", nil).Kind)
	unknown := f.refusal(t, http.MethodGet, "/v1/generations/none", nil)
	require.Equal(t, problem.KindNotFound, unknown.Kind)
	require.Equal(t, problem.RanUnknown, unknown.Ran)
	order := apiengine.Order{ID: "a", Fence: 2, Kind: apiengine.OrderLoad, Model: "m", Version: "2"}
	var result apiengine.OrderResult
	f.json(t, http.MethodPost, "/v1/orders", order, &result)
	require.True(t, result.Applied)
	order.ID, order.Fence = "b", 1
	require.Equal(t, problem.KindConflict, f.refusal(t, http.MethodPost, "/v1/orders", order).Kind)
	var state apiengine.OrderState
	f.json(t, http.MethodGet, "/v1/orders", nil, &state)
	require.EqualValues(t, 2, state.HighestFence)
	require.Len(t, state.Applied, 1)
}

func TestReclaimRefusesThenCutsStreams(t *testing.T) {
	f := start(t, nil)
	stream := newReader(t, f.do(t, http.MethodPost, "/v1/generations", generate("g", "#len=1000000")))
	f.json(t, http.MethodPost, "/admin/reclaim", Reclaim{Notice: 50 * time.Millisecond}, &Reclaim{})
	require.Equal(t, problem.KindDraining, f.refusal(t, http.MethodPost, "/v1/generations", generate("h", "x")).Kind)
	require.Equal(t, EndReclaimed, <-f.ended)
	for name := "token"; name != ""; name, _ = stream.next() {
		require.Equal(t, "token", name)
	}
	require.Error(t, stream.lines.Err(), "the connection is cut, not ended")
	require.NoError(t, stream.body.Close())
}

func TestCrashLeavesAJournalOnDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	entries, err := journal.Open[Entry](path)
	require.NoError(t, err)
	f := start(t, func(o *Options) { o.Journal = entries })
	stream := newReader(t, f.do(t, http.MethodPost, "/v1/generations", generate("g", "boom #crash")))
	require.Equal(t, EndCrashed, <-f.ended)
	name, _ := stream.next()
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

func TestEndedGenerationsAreForgottenAfterTheirRetention(t *testing.T) {
	f := start(t, func(o *Options) { o.Retention = time.Millisecond })
	newReader(t, f.do(t, http.MethodPost, "/v1/generations", generate("g", "#len=1"))).rest(t, 0)
	f.server.step(time.Now().Add(time.Hour))
	require.Equal(t, problem.KindNotFound, f.refusal(t, http.MethodGet, "/v1/generations/g", nil).Kind)
}

func TestAdminChangesTheModel(t *testing.T) {
	f := start(t, nil)
	f.json(t, http.MethodPut, "/admin/memory", Memory{Blocks: 7}, &Memory{})
	f.json(t, http.MethodPut, "/admin/leaving", Leaving{Leaving: true}, &Leaving{})
	f.json(t, http.MethodPut, "/admin/cache-loss", CacheLoss{Next: 3}, &CacheLoss{})
	f.json(t, http.MethodPut, "/admin/slowdown", Slowdown{Factor: 2}, &Slowdown{})
	var state State
	f.json(t, http.MethodGet, "/admin/state", nil, &state)
	require.Equal(t, 7, state.Load.TotalBlocks)
	require.True(t, state.Load.Leaving)
	var events apiengine.CacheEvents
	f.json(t, http.MethodGet, "/v1/cache-events?after=0", nil, &events)
	require.Empty(t, events.Events)
	var report apiengine.LoadReport
	f.json(t, http.MethodGet, "/v1/load", nil, &report)
	require.Equal(t, "e1", report.Target)
	var entries []Entry
	f.json(t, http.MethodGet, "/admin/journal", nil, &entries)
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

// BenchmarkStreams measures the whole cost of a token from the step to a reader,
// with 32 streams on one engine.
func BenchmarkStreams(b *testing.B) {
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
			body, _ := json.Marshal(generate(fmt.Sprint(i), fmt.Sprintf("#len=%d", max(1, b.N/streams))))
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
