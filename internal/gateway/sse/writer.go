// Package sse writes the tokens of a completion to a caller as server-sent
// events, without reflection and with one write a batch.
package sse

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/resumetoken"
)

// maxBatchBytes bounds what is collected before a write, so that a stream holds
// little memory.
const maxBatchBytes = 32 << 10

// Writer writes one stream. It implements runner.Sink and is not safe for
// concurrent use.
type Writer struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	timeout  time.Duration // longest wait for a slow caller to take a batch
	keys     *resumetoken.Keyring
	template resumetoken.Token
	sealer   *resumetoken.Signer
	head     []byte // JSON up to the offset
	buffer   []byte
	started  bool
	onTokens func(n int)
	pending  int
}

// New returns a Writer. The template holds the account, request id, model,
// version, adapter and expiry of the resume tokens. onTokens learns of delivered
// tokens.
func NewWriter(w http.ResponseWriter, keys *resumetoken.Keyring, template resumetoken.Token, timeout time.Duration, onTokens func(n int)) *Writer {
	return &Writer{
		w: w, control: http.NewResponseController(w), timeout: timeout,
		keys: keys, template: template, onTokens: onTokens,
	}
}

// Placed implements runner.Sink.
func (s *Writer) SetSource(target platform.Target, generation string) {
	t := s.template
	t.Target, t.Address, t.Generation = target.Name, target.Address, generation
	s.sealer = s.keys.NewSigner(t)
	s.head = append(s.head[:0], "\ndata: {\"id\":"...)
	s.head = appendString(s.head, t.RequestID)
	s.head = append(s.head, `,"object":"text_completion.chunk","model":`...)
	s.head = appendString(s.head, t.Model)
	s.head = append(s.head, `,"generation":`...)
	s.head = appendString(s.head, generation)
	s.head = append(s.head, `,"offset":`...)
}

// Token implements runner.Sink.
func (s *Writer) Token(offset int, text string) error {
	s.start()
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = s.sealer.Append(s.buffer, offset)
	s.chunk(offset, text)
	s.buffer = append(s.buffer, "}]}\n\n"...)
	s.pending++
	if len(s.buffer) >= maxBatchBytes {
		return s.Flush()
	}
	return nil
}

// Flush implements runner.Sink.
func (s *Writer) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	s.buffer = s.buffer[:0]
	s.onTokens(s.pending)
	s.pending = 0
	return s.control.Flush()
}

// Started tells whether the caller has got the header of the stream.
func (s *Writer) Started() bool { return s.started }

// Finish ends a complete stream of the given number of tokens. The last chunk
// carries no token and no event id.
func (s *Writer) Finish(tokens int, reason string) error {
	s.start()
	s.buffer = append(s.buffer, ": end"...)
	s.chunk(tokens, "")
	s.buffer = append(s.buffer, `,"finish_reason":`...)
	s.buffer = appendString(s.buffer, reason)
	s.buffer = append(s.buffer, "}]}\n\ndata: [DONE]\n\n"...)
	return s.Flush()
}

// Fail ends a stream that has begun with an error event.
func (s *Writer) WriteError(e *problem.Error) error {
	data, err := json.Marshal(e.Document())
	if err != nil {
		return err
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.Flush()
}

// chunk appends a chunk up to the end of its text.
func (s *Writer) chunk(offset int, text string) {
	s.buffer = append(s.buffer, s.head...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, `,"choices":[{"index":0,"text":`...)
	s.buffer = appendString(s.buffer, text)
}

func (s *Writer) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}
