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

// callTimeout bounds one call of a caller.
const callTimeout = 60 * time.Second

// client is the HTTP client of all callers. It ignores the environment's proxy
// settings.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// received is what a caller has received of one stream.
type received struct {
	chunks      []completion.Chunk
	lastEventID string
	done        bool           // "[DONE]" arrived
	failure     *problem.Error // terminal error event or rejection
	status      int
	maxGap      time.Duration // longest time between two chunks
	requestID   string
}

// errConnectionClosed means that the connection was closed before the stream's end.
var errConnectionClosed = errors.New("connection closed before the end of the stream")

// streamCall describes one attempt of a caller to read a stream.
type streamCall struct {
	key       string // account key
	requestID string
	body      completion.Request
	resume    bool // GET, with Last-Event-ID if one was received
	onChunk   func(n int)
}

// readStream makes one attempt to read a stream from a gateway and appends the chunks
// to got.
func readStream(ctx context.Context, url string, call streamCall, got *received) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// readEvents reads server-sent events until the stream or the connection ends.
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
			if end, err := handleEvent(event, id, data, call, got); end {
				return err
			}
			event, id, data = "", "", ""
		}
	}
	return errConnectionClosed
}

// handleEvent processes one event. It returns true, and the stream's result, if the
// event ended the stream.
func handleEvent(event, id, data string, call streamCall, got *received) (bool, error) {
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

// plainAnswer is the response that a caller of a plain service received.
type plainAnswer struct {
	status  int
	body    string
	failure *problem.Error
	took    time.Duration
}

// callPlain calls a plain service through a gateway.
func callPlain(t testing.TB, url, key, method, path, requestID, body string) (plainAnswer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
	return doRequest(request)
}

// doRequest sends a request and reads the whole response.
func doRequest(request *http.Request) (plainAnswer, error) {
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

// getOK reports whether a GET is answered 200.
func getOK(url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
