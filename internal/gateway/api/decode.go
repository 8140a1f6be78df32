package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/api/completion"
)

const (
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 128
	// maxJSONDepth is more than any valid request has.
	maxJSONDepth = 8
)

// maxDeadlineMS bounds a caller's deadline: one hour.
const maxDeadlineMS = 3_600_000

// bodyTimeout bounds the time that a caller may take to send its body.
const bodyTimeout = 30 * time.Second

// readBody reads a bounded body. The read deadline is taken back afterwards, as
// it would end the request's context during a long answer.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, badRequest("the body could not be read to its end").WithCause(err)
	}
	return body, nil
}

// decodeRequest reads a completion request. It never panics.
func decodeRequest(body []byte) (completion.Request, error) {
	var request completion.Request
	if depth(body) > maxJSONDepth {
		return request, badRequest("the JSON is nested deeper than %d levels", maxJSONDepth)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, badRequest("the body is no completion request: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return request, badRequest("there is more after the JSON of the request")
	}
	return request, checkRequest(request)
}

func checkRequest(r completion.Request) error {
	switch {
	case r.Model == "":
		return badRequest(`the field "model" is missing`)
	case r.Prompt == "":
		return badRequest(`the field "prompt" is missing or empty`)
	case r.MaxTokens < 0:
		return badRequest(`the field "max_tokens" must not be negative`)
	case r.DeadlineMS < 0 || r.DeadlineMS > maxDeadlineMS:
		return badRequest(`the field "deadline_ms" must lie between 0 and %d`, maxDeadlineMS)
	case r.Delivery != "" && r.Delivery != completion.DeliveryNow && r.Delivery != completion.DeliveryLate:
		return badRequest(`the field "delivery" must be "now" or "late"`)
	case r.Delivery == completion.DeliveryLate && r.Stream:
		return badRequest("a request with late delivery cannot be streamed")
	}
	return nil
}

// depth returns the deepest nesting of a JSON text, which need not be valid.
func depth(body []byte) int {
	level, deepest, quoted := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// bodyHash covers what makes two requests the same. How the answer is carried
// does not count, so that a caller may come back for it another way.
func bodyHash(r completion.Request) uint64 {
	same := r
	same.Stream, same.DeadlineMS = false, 0
	if same.Delivery == completion.DeliveryNow {
		same.Delivery = ""
	}
	text, err := json.Marshal(same)
	if err != nil {
		panic(err) // a request holds plain data only
	}
	return xxhash.Sum64(text)
}

// fingerprint names a request of an account, whatever its id.
func fingerprint(account string, body uint64) uint64 {
	var tail [8]byte
	for i := range tail {
		tail[i] = byte(body >> (8 * i))
	}
	return xxhash.Sum64(append([]byte(account+"\x00"), tail[:]...))
}

// idempotencyKey returns the caller's key, or "" if there is none.
func idempotencyKey(r *http.Request) (string, error) {
	values := r.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || !validKey(values[0]) {
		return "", badRequest("the Idempotency-Key must be given once and have 1 to %d visible ASCII characters other than /", maxKeyBytes)
	}
	return values[0], nil
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}
