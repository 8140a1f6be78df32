package prove

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
)

// callLimit ends a call that hangs.
const callLimit = 60 * time.Second

// client never reuses a connection for another test and has no proxy settings.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// received is what a caller has got of one stream.
type received struct {
	chunks      []completion.Chunk
	lastEventID string
	done        bool           // "[DONE]" arrived
	failure     *problem.Error // terminal error event or refusal
	status      int
	maxGap      time.Duration // longest time between two chunks
	requestID   string
}

// errCut means that the connection ended before the stream did.
var errCut = errors.New("connection ended before the stream")

// streamCall describes one attempt of a caller to read a stream.
type streamCall struct {
	key       string // account key
	requestID string
	body      completion.Request
	resume    bool // GET with Last-Event-ID, or without one if none was seen
	onChunk   func(n int)
}

// stream runs one attempt against a gateway and appends to got.
func stream(ctx context.Context, url string, call streamCall, got *received) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	request, err := streamRequest(ctx, url, call, got)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	got.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return readProblem(response.Body, got)
	}
	return readEvents(response.Body, call, got)
}

func streamRequest(ctx context.Context, url string, call streamCall, got *received) (*http.Request, error) {
	got.requestID = call.requestID
	if call.resume {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/completions/"+call.requestID, nil)
		if err != nil {
			return nil, err
		}
		request.Header.Set("Accept", "text/event-stream")
		if got.lastEventID != "" {
			request.Header.Set("Last-Event-ID", got.lastEventID)
		}
		request.Header.Set("Authorization", "Bearer "+call.key)
		return request, nil
	}
	call.body.Stream = true
	body, err := json.Marshal(call.body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", call.requestID)
	request.Header.Set("Authorization", "Bearer "+call.key)
	return request, nil
}

func readProblem(body io.Reader, got *received) error {
	var document problem.Document
	if err := json.NewDecoder(body).Decode(&document); err != nil {
		return fmt.Errorf("status %d without a problem document: %w", got.status, err)
	}
	got.failure = problem.FromDocument(document)
	return got.failure
}

// readEvents reads SSE events until the stream or the connection ends.
func readEvents(body io.Reader, call streamCall, got *received) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 64<<10), 4<<20)
	var event, id, data string
	last := time.Now()
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "event:"):
			event = strings.TrimSpace(line[len("event:"):])
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[len("id:"):])
		case strings.HasPrefix(line, "data:"):
			data = strings.TrimSpace(line[len("data:"):])
		case line == "" && data != "":
			if len(got.chunks) > 0 {
				got.maxGap = max(got.maxGap, time.Since(last))
			}
			last = time.Now()
			if end, err := take(event, id, data, call, got); end {
				return err
			}
			event, id, data = "", "", ""
		}
	}
	return errCut
}

func take(event, id, data string, call streamCall, got *received) (bool, error) {
	if event == "error" {
		var document problem.Document
		if err := json.Unmarshal([]byte(data), &document); err != nil {
			return true, err
		}
		got.failure = problem.FromDocument(document)
		return true, got.failure
	}
	if data == "[DONE]" {
		got.done = true
		return true, nil
	}
	var chunk completion.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return true, err
	}
	if id != "" {
		got.lastEventID = id
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].FinishReason != "" {
		return false, nil
	}
	got.chunks = append(got.chunks, chunk)
	if call.onChunk != nil {
		call.onChunk(len(got.chunks))
	}
	return false, nil
}

// plainAnswer is what a caller of a plain service got.
type plainAnswer struct {
	status  int
	body    string
	failure *problem.Error
	took    time.Duration
}

// plain calls a plain service through a gateway.
func plain(t testing.TB, url, key, method, path, requestID, body string) (plainAnswer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		return plainAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		request.Header.Set("Idempotency-Key", requestID)
	}
	return exchange(request)
}

// exchange sends a request and reads the whole answer.
func exchange(request *http.Request) (plainAnswer, error) {
	begin := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return plainAnswer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return plainAnswer{}, err
	}
	answer := plainAnswer{status: response.StatusCode, body: string(text), took: time.Since(begin)}
	if response.Header.Get("Content-Type") == problem.ContentType {
		var document problem.Document
		if json.Unmarshal(text, &document) == nil {
			answer.failure = problem.FromDocument(document)
		}
	}
	return answer, nil
}

// getOK tells whether a GET answers 200.
func getOK(url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
