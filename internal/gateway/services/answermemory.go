package services

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/memquota"
)

const (
	// smallAnswerBytes is what is read of each answer without regard to others.
	smallAnswerBytes = 64 << 10
	// middleAnswerBytes is what an answer without a length may need before it counts as a large one.
	middleAnswerBytes = 1 << 20
	// middleAnswersBytes and largeAnswersBytes bound the memory of the answers of each size that are being
	// read. One service may use half of each.
	middleAnswersBytes = 32 << 20
	largeAnswersBytes  = 64 << 20
)

// errNoMemory means that an answer could not be read because others of its size were.
var errNoMemory = eris.New("services: no memory was free for a large answer within the time of the call; the call may have been executed")

// answerMemory bounds the memory of answers that are being read: targets at fault may send bytes
// without end to many calls at once. It is safe for concurrent use.
type answerMemory struct{ sizes []answerSize } // in ascending order

// answerSize is the memory for answers of up to limit bytes.
type answerSize struct {
	limit int64
	quota *memquota.Quota
}

func newAnswerMemory() *answerMemory {
	return &answerMemory{[]answerSize{{middleAnswerBytes, memquota.New(middleAnswersBytes)}, {maxAnswerBytes, memquota.New(largeAnswersBytes)}}}
}

// readBody reads the body of a service's answer. One of more than smallAnswerBytes waits for memory as
// long as ctx lasts. The errors are errAnswerTooLarge, errNoMemory or those of the connection.
func (m *answerMemory) readBody(ctx context.Context, service string, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	start, err := io.ReadAll(io.LimitReader(resp.Body, smallAnswerBytes))
	if err != nil || len(start) < smallAnswerBytes {
		return start, err
	}
	body := bytes.NewBuffer(start)
	release := func() {}
	defer func() { release() }()
	for _, s := range m.sizes {
		size := s.limit
		if resp.ContentLength >= 0 {
			size = resp.ContentLength
		}
		if size > s.limit {
			continue
		}
		giveBack, err := s.quota.TakeFor(ctx, service, size)
		if err != nil {
			return nil, eris.Wrap(errNoMemory, err.Error())
		}
		release() // of the smaller size, only now: what has been read is held meanwhile
		release = giveBack
		body.Grow(int(size) - body.Len() + bytes.MinRead) // ReadFrom needs so much more to find the end
		if _, err := body.ReadFrom(io.LimitReader(resp.Body, s.limit+1-int64(body.Len()))); err != nil {
			return nil, err
		}
		if int64(body.Len()) <= s.limit {
			return bytes.Clone(body.Bytes()), nil
		}
	}
	return nil, errAnswerTooLarge
}
