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
	// maxJSONDepth is deeper than any valid request. The check keeps the JSON decoder
	// from recursing into hostile bodies.
	maxJSONDepth = 8
)

// maxDeadlineMS is the longest deadline that a caller may set: one hour.
const maxDeadlineMS = 3_600_000

// bodyTimeout bounds the time that a caller may take to send its body.
const bodyTimeout = 30 * time.Second

// readBody reads a body of up to limit bytes. It clears the read deadline afterwards,
// because an expired one would cancel the request's context during a long answer.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, badRequest("the body could not be read to its end").WithCause(err)
	}
	return body, nil
}

// decodeRequest decodes and validates a completion request. It must not panic on any
// input; FuzzRequestDecoder checks that.
func decodeRequest(body []byte) (completion.Request, error) {
	var request completion.Request
	if jsonDepth(body) > maxJSONDepth {
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

// checkRequest validates the fields of a decoded request.
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

// jsonDepth returns the deepest nesting of objects and arrays in a JSON text. The text
// need not be valid.
func jsonDepth(body []byte) int {
	level, deepest, inString := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// bodyHash hashes what identifies a request. Streaming, deadline and the explicit
// default delivery are left out, so a caller may fetch the answer in another form
// under the same key.
func bodyHash(r completion.Request) uint64 {
	normalized := r
	normalized.Stream, normalized.DeadlineMS = false, 0
	if normalized.Delivery == completion.DeliveryNow {
		normalized.Delivery = ""
	}
	text, err := json.Marshal(normalized)
	if err != nil {
		panic(err) // a request holds plain data only
	}
	return xxhash.Sum64(text)
}

// fingerprint identifies equal requests of an account, whatever their ids.
func fingerprint(account string, bodyHash uint64) uint64 {
	var hashBytes [8]byte
	for i := range hashBytes {
		hashBytes[i] = byte(bodyHash >> (8 * i))
	}
	return xxhash.Sum64(append([]byte(account+"\x00"), hashBytes[:]...))
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

// validKey reports whether key can be an Idempotency-Key. "/" is excluded because the
// key is also a path segment and part of store keys.
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
