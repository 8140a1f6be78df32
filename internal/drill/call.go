package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

// Shares of callers that behave in unusual ways.
const (
	chunkedShare    = 0.3
	slowBodyShare   = 0.03
	slowReaderShare = 0.03
)

// call is a request of a caller with its repeats.
type call struct {
	client  *client
	kind    *deployment.Kind
	id      string
	path    string
	body    []byte
	request Call
	part    string // of the prompt, that crashes engines
	crashes bool   // the targets that run it

	chunked    bool
	slowBody   time.Duration // time that the body takes
	slowReader time.Duration // pause between reads
	leaveAfter time.Duration // when the caller gives up, 0 for never
	impatient  bool          // repeats at once and more often

	began time.Time
	tried map[*host]bool
}

func newCall(c *client, k *deployment.Kind) *call {
	out := &call{client: c, kind: k, tried: make(map[*host]bool)}
	t := c.traffic
	c.draw(func(r *rand.Rand) {
		out.id = fmt.Sprintf("%016x", r.Uint64())
		_, prefix := t.fleet.platform.Address(k.Name)
		out.path = fmt.Sprintf("%s%x", prefix, r.Uint32())
		out.body = make([]byte, k.Body.DrawInt(r, 0))
		for i := range out.body {
			out.body[i] = byte('a' + i%26)
		}
		out.chunked = r.Float64() < chunkedShare
		if r.Float64() < slowBodyShare {
			out.slowBody = between(r, 50*time.Millisecond, 400*time.Millisecond)
		}
		if r.Float64() < slowReaderShare {
			out.slowReader = between(r, 20*time.Millisecond, 500*time.Millisecond)
		}
		if r.Float64() < t.giveUpShare() {
			out.leaveAfter = between(r, 5*time.Millisecond, k.Deadline/2)
		}
		out.impatient = r.Float64() < t.impatientShare()
		out.request = Call{Kind: k}
		out.drawPrompt(r)
	})
	out.request.Key = t.fleet.operator.key(c.account)
	return out
}

func (c *call) drawPrompt(r *rand.Rand) {
	k := c.kind
	if k.Events.Mean == 0 {
		return
	}
	c.request.Output = k.Events.DrawInt(r, 1)
	for n, p := range k.Parts {
		part := r.IntN(max(1, p.Count))
		c.request.Parts = append(c.request.Parts, PromptPart{ID: fmt.Sprintf("%x%02x%04x", k.Name[:1], n, part), Tokens: max(1, int(p.Tokens.Mean))})
	}
	own := k.Prompt.DrawInt(r, 1)
	c.request.Parts = append(c.request.Parts, PromptPart{ID: fmt.Sprintf("%08x", r.Uint32()), Tokens: own})
	for _, p := range c.request.Parts {
		c.request.Prompt += p.Tokens
	}
	if k.Hint > 0 {
		c.request.LengthHint = max(1, int(float64(c.request.Output*4)*deployment.Length{Mean: 1, Spread: k.Hint}.Draw(r)))
	}
}

// deadline returns when the caller stops waiting.
func (c *call) deadline() time.Time { return c.began.Add(c.kind.Deadline) }

// impatientRepeats is how often impatient callers repeat.
const impatientRepeats = 3

// run sends the request and repeats it as callers do.
func (c *call) run(ctx context.Context) {
	c.began = time.Now()
	repeats := c.kind.Repeats
	if c.impatient {
		repeats = impatientRepeats
	}
	for attempt := 0; attempt <= repeats && ctx.Err() == nil; attempt++ {
		r := c.attempt(ctx)
		c.client.traffic.fleet.log.Request(r)
		if r.GaveUp || !c.mayRepeat(&r) {
			return
		}
		left := time.Until(c.deadline())
		pause := min(max(r.RetryAfter, repeatPause), left/retryAfterDivisor)
		if c.impatient {
			pause = 0
		}
		if left <= minTimeLeft || sleep(ctx, pause) != nil {
			return
		}
	}
}

const (
	repeatPause       = 20 * time.Millisecond // without Retry-After
	retryAfterDivisor = 3                     // of the time left
	minTimeLeft       = 20 * time.Millisecond // for a repeat
)

// mayRepeat reports whether the caller repeats after the outcome of an attempt.
func (c *call) mayRepeat(r *record.Request) bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	}
	if r.Status/100 == 2 && r.Complete {
		return false
	}
	if c.kind.Kind == record.Idempotent {
		return true
	}
	return r.Opened.IsZero() // no connection, so that nobody read it
}

// attempt sends the request once.
func (c *call) attempt(ctx context.Context) record.Request {
	var id string
	c.client.draw(func(r *rand.Rand) { id = fmt.Sprintf("%016x", r.Uint64()) })
	r := record.Request{ID: id, Call: c.id, Route: c.kind.Name, Domain: c.client.domain, Expected: c.request.Output, Fingerprint: c.path, Part: c.part, Crashes: c.crashes, Sent: time.Now()}
	conn, h, err := c.client.connect(c.tried)
	c.tried[h] = true
	r.Host, r.Deadline = h.name, time.Until(c.deadline())
	if err != nil {
		r.Ended, r.Error = time.Now(), err.Error()
		return r
	}
	r.Connection, r.Earlier, r.Opened = conn.number, conn.requests, conn.opened
	conn.requests++
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e := exchange{call: c, conn: conn, result: &r}
	if e.run() {
		c.client.keep(conn)
	} else {
		_ = conn.Close()
	}
	r.Ended = time.Now()
	r.GaveUp = r.GaveUp || !r.Complete && ctx.Err() != nil
	if conn.lastRead.After(r.Sent) {
		r.LastByte = conn.lastRead
	}
	return r
}
