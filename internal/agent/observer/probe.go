package observer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/forwardconn"
	"corianderhitch/internal/httpanswer"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
)

const (
	// maxAnswerBytes bounds the size of a target's answer to a poll.
	maxAnswerBytes = 4 << 20
	// maxHeadBytes bounds the heads of an answer.
	maxHeadBytes = 64 << 10
	// idleConnections is the number of idle connections to keep per address.
	// Successive polls of one target need one, but several targets may share an
	// address, and a new connection for each poll costs more than the poll.
	idleConnections = 64
	// connectTimeout bounds the time to connect to a target.
	connectTimeout = 500 * time.Millisecond
)

// Prober polls targets over HTTP. It is safe for concurrent use.
type Prober struct{ client *http.Client }

// NewProber returns a Prober with its own connections, which dial opens.
func NewProber(dial outbound.DialFunc) *Prober {
	return &Prober{client: &http.Client{Transport: httpanswer.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true, // answers are small, and the header costs more than compression saves
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}}}
}

// Close closes the idle connections.
func (p *Prober) Close() { p.client.CloseIdleConnections() }

// Poll reads a target's load and the cache events after seq, and returns the seq for
// the next poll. Plain service instances are polled at /readyz and have no events.
func (p *Prober) Poll(ctx context.Context, target platform.Target, seq int64) (Sample, int64) {
	if target.Kind == platform.TargetService {
		return Sample{Outcome: outcomeOf(p.get(ctx, target.Address, "/readyz", nil))}, 0
	}
	var load engine.LoadReport
	if err := p.get(ctx, target.Address, "/v1/load", &load); err != nil {
		return failedSample(target.Name, outcomeOf(err), seq)
	}
	sample := Sample{Load: load}
	var events engine.CacheEvents
	path := "/v1/cache-events?after=" + strconv.FormatInt(seq, 10)
	if err := p.get(ctx, target.Address, path, &events); err != nil {
		return sample, seq
	}
	sample.Cache = cacheDelta(target.Name, seq, events)
	return sample, events.Next
}

// failedSample returns the sample of a failed poll. If the connection was refused or
// broke, the engine's cache counts as lost, since a restarted engine has an empty
// cache but may use the same event numbers.
func failedSample(target string, o Outcome, seq int64) (Sample, int64) {
	if o != OutcomeUnreachable {
		return Sample{Outcome: o}, seq
	}
	return Sample{Outcome: o, Cache: control.CacheDelta{Target: target, Lost: true}}, 0
}

// cacheDelta combines cache events into one delta. A gap in the numbers, or a counter
// that went back because the engine restarted, marks the earlier contents as lost.
func cacheDelta(target string, after int64, events engine.CacheEvents) control.CacheDelta {
	delta := control.CacheDelta{Target: target}
	expected := after + 1
	for _, e := range events.Events {
		if e.Seq != expected {
			delta.Lost = true
		}
		expected = e.Seq + 1
		switch e.Kind {
		case engine.CacheStored:
			delta.Stored = append(delta.Stored, e.Hash)
		case engine.CacheEvicted:
			delta.Evict = append(delta.Evict, e.Hash)
		}
	}
	if events.Next < after || (len(events.Events) == 0 && events.Next > after) {
		delta.Lost = true
	}
	return delta
}

// errInvalidAnswer is an answer with an error status or an invalid body.
var errInvalidAnswer = eris.New("target answered a poll with an error; see the target's log")

// get is getOnce with a second try if the connection broke, by another way if there is one: the
// connection may have been cut for this host only.
func (p *Prober) get(ctx context.Context, address, path string, into any) error {
	err := p.getOnce(ctx, address, path, into)
	if outcomeOf(err) == OutcomeUnreachable && !outbound.IsConnectionRefused(err) {
		return p.getOnce(ctx, address, path, into)
	}
	return err
}

// getOnce requests a path of a target and decodes the JSON response into into. If into is
// nil, any status below 500 is a success.
func (p *Prober) getOnce(ctx context.Context, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	request.Header["User-Agent"] = nil // saves the header's bytes in every poll
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusInternalServerError || (into != nil && response.StatusCode != http.StatusOK) {
		return eris.Wrapf(errInvalidAnswer, "%s %d", path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return eris.Wrapf(errInvalidAnswer, "%s: %v", path, err)
	}
	return nil
}

// outcomeOf returns the outcome of a poll that ended with err.
func outcomeOf(err error) Outcome {
	var timeout net.Error
	switch {
	case err == nil:
		return OutcomeAnswered
	case errors.Is(err, errInvalidAnswer):
		return OutcomeErrorResponse
	case errors.Is(err, forwardconn.ErrCutOff):
		return OutcomeUnknown
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return OutcomeTimeout
	}
	return OutcomeUnreachable
}
