// Package sse writes the tokens of a completion to a caller as server-sent events. The
// events are built without reflection and written in batches, which keeps the cost per
// token low.
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

// maxBatchBytes is the buffer size at which a batch is written, which bounds the memory
// of a stream.
const maxBatchBytes = 32 << 10

// Writer writes one stream. It implements runner.Sink and is not safe for
// concurrent use.
type Writer struct {
	w              http.ResponseWriter
	control        *http.ResponseController
	timeout        time.Duration // longest wait for a caller to read a batch
	keys           *resumetoken.Keyring
	template       resumetoken.Token
	signer         *resumetoken.Signer
	chunkPrefix    []byte // start of each chunk: the line break after the event id, up to the token's offset
	buffer         []byte
	started        bool
	onTokens       func(n int)
	bufferedTokens int
}

// NewWriter returns a Writer. The template holds the account, request id, model, version,
// adapter and expiry of the resume tokens. onTokens is called with the number of tokens
// of each batch written.
func NewWriter(w http.ResponseWriter, keys *resumetoken.Keyring, template resumetoken.Token, timeout time.Duration, onTokens func(n int)) *Writer {
	return &Writer{
		w: w, control: http.NewResponseController(w), timeout: timeout,
		keys: keys, template: template, onTokens: onTokens,
	}
}

// SetSource implements runner.Sink. It must be called before the first Token.
func (s *Writer) SetSource(target platform.Target, generation string) {
	t := s.template
	t.Target, t.Address, t.Generation = target.Name, target.Address, generation
	s.signer = s.keys.NewSigner(t)
	s.chunkPrefix = append(s.chunkPrefix[:0], "\ndata: {\"id\":"...)
	s.chunkPrefix = appendString(s.chunkPrefix, t.RequestID)
	s.chunkPrefix = append(s.chunkPrefix, `,"object":"text_completion.chunk","model":`...)
	s.chunkPrefix = appendString(s.chunkPrefix, t.Model)
	s.chunkPrefix = append(s.chunkPrefix, `,"generation":`...)
	s.chunkPrefix = appendString(s.chunkPrefix, generation)
	s.chunkPrefix = append(s.chunkPrefix, `,"offset":`...)
}

// Token implements runner.Sink. It writes only when a batch is full.
func (s *Writer) Token(offset int, text string) error {
	s.writeHeader()
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = s.signer.Append(s.buffer, offset)
	s.appendChunk(offset, text)
	s.buffer = append(s.buffer, "}]}\n\n"...)
	s.bufferedTokens++
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
	s.onTokens(s.bufferedTokens)
	s.bufferedTokens = 0
	return s.control.Flush()
}

// Started reports whether the response header is written, after which a failure can be
// sent only by WriteError.
func (s *Writer) Started() bool { return s.started }

// Finish ends a complete stream of the given number of tokens and flushes it. The last
// chunk has the finish reason instead of a token, and no event id.
func (s *Writer) Finish(tokens int, reason string) error {
	s.writeHeader()
	s.buffer = append(s.buffer, ": end"...) // a comment line in place of the event id
	s.appendChunk(tokens, "")
	s.buffer = append(s.buffer, `,"finish_reason":`...)
	s.buffer = appendString(s.buffer, reason)
	s.buffer = append(s.buffer, "}]}\n\ndata: [DONE]\n\n"...)
	return s.Flush()
}

// WriteError ends a started stream with an error event and flushes it.
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

// appendChunk appends a chunk up to the end of its text. The caller appends the rest.
func (s *Writer) appendChunk(offset int, text string) {
	s.buffer = append(s.buffer, s.chunkPrefix...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, `,"choices":[{"index":0,"text":`...)
	s.buffer = appendString(s.buffer, text)
}

// writeHeader writes the response header once.
func (s *Writer) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}
