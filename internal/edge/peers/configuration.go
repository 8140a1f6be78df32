package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/packed"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

const (
	// partBytes is the size of a part of a packed configuration. Over a link of 10 Mbit/s it takes 13 ms,
	// so that other calls on the connection are not held up.
	partBytes = 16 << 10
	// maxSources bounds the hosts from which a configuration is fetched.
	maxSources = 4
	// fetchRetryDelay follows a round in which no source answered. Nothing of what has arrived is lost.
	fetchRetryDelay = 100 * time.Millisecond
	// preparingDelay is when a host that is still packing a text is asked again.
	preparingDelay = 20 * time.Millisecond
	// maxFetchRounds is how many such rounds in a row end a fetch; the next confirmation begins it again.
	maxFetchRounds = 3
)

// configurationFetch fetches the newest configuration that other hosts have, in parts. What has arrived
// is kept when a call fails. It is safe for concurrent use.
type configurationFetch struct {
	mu          sync.Mutex
	newest      policy.Stamp      // guarded by mu; of all configurations that hosts have stated
	wanted      policy.Stamp      // guarded by mu; the newest that can be fetched, zero once no source sends it
	sources     []relay.Host      // guarded by mu; hosts that have it, the latest to state it first
	confirmedAt bootclock.Instant // guarded by mu; when wanted was certainly the newest; 0 if that is not known
	asOf        platform.Revision // guarded by mu; see Confirmation.AsOf, of wanted
	ended       chan struct{}     // guarded by mu; closed at the end of the fetch in progress; nil if there is none
	progressAt  bootclock.Instant // guarded by mu; when the fetch began or the latest part arrived

	text packed.Text // what has arrived of the configuration have; only for the goroutine of the fetch
	have policy.Stamp
}

// want records that a host has a configuration. It returns the channel that ends the fetch if the caller
// must run it, nil if one is in progress.
func (f *configurationFetch) want(host relay.Host, stamp policy.Stamp, confirmedAt bootclock.Instant, asOf platform.Revision) (ended chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case stamp.NewerThan(f.wanted):
		f.wanted, f.sources, f.confirmedAt, f.asOf = stamp, nil, confirmedAt, asOf
	case stamp != f.wanted:
		return nil // older
	}
	if stamp.NewerThan(f.newest) {
		f.newest = stamp
	}
	f.confirmedAt, f.asOf = max(f.confirmedAt, confirmedAt), max(f.asOf, asOf)
	f.sources = slices.DeleteFunc(f.sources, func(h relay.Host) bool { return h.Name == host.Name })
	f.sources = slices.Insert(f.sources, 0, host)
	f.sources = f.sources[:min(len(f.sources), maxSources)]
	if f.ended != nil {
		return nil
	}
	f.ended, f.progressAt = make(chan struct{}), bootclock.Now()
	return f.ended
}

// next returns the configuration to fetch and the hosts that have it.
func (f *configurationFetch) next() (policy.Stamp, []relay.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wanted, slices.Clone(f.sources)
}

// outcome returns when and as of which revision a configuration that is now in force was confirmed, 0 if that
// is not known.
func (f *configurationFetch) outcome(inForce policy.Stamp) (bootclock.Instant, platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted != inForce {
		return 0, 0
	}
	return f.confirmedAt, f.asOf
}

func (f *configurationFetch) progressed() {
	f.mu.Lock()
	f.progressAt = bootclock.Now()
	f.mu.Unlock()
}

func (f *configurationFetch) end(ended chan struct{}) {
	f.mu.Lock()
	f.ended = nil
	f.mu.Unlock()
	close(ended)
}

// KnowsNewerConfiguration reports whether another host has stated that it has a configuration that is
// newer than the one in force here.
func (e *Exchange) KnowsNewerConfiguration() bool {
	e.fetch.mu.Lock()
	defer e.fetch.mu.Unlock()
	return e.fetch.newest.NewerThan(e.Policy.Current().Stamp())
}

// FetchesConfiguration reports whether parts of a newer configuration arrive.
func (e *Exchange) FetchesConfiguration() bool {
	e.fetch.mu.Lock()
	defer e.fetch.mu.Unlock()
	return e.fetch.ended != nil && bootclock.Since(e.fetch.progressAt) < callTimeout
}

// awaitFetch waits for the end of the fetch in progress, as long as parts arrive. It returns false if there is
// none or ctx ends.
func (e *Exchange) awaitFetch(ctx context.Context) bool {
	e.fetch.mu.Lock()
	ended := e.fetch.ended
	e.fetch.mu.Unlock()
	if ended == nil {
		return false
	}
	for e.FetchesConfiguration() {
		select {
		case <-ended:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(callTimeout / 4):
		}
	}
	return false
}

// fetchConfiguration fetches a configuration that a host has and puts it in force. It returns at once.
func (e *Exchange) fetchConfiguration(host relay.Host, stamp policy.Stamp, confirmedAt bootclock.Instant, asOf platform.Revision) {
	ended := e.fetch.want(host, stamp, confirmedAt, asOf)
	if ended == nil {
		return
	}
	go func() {
		defer e.fetch.end(ended)
		e.runFetch(context.Background())
	}()
}

// runFetch fetches until the newest known configuration is in force, or no source answers.
func (e *Exchange) runFetch(ctx context.Context) {
	began, f := bootclock.Now(), &e.fetch
	for failures := 0; ; {
		stamp, sources := f.next()
		own := e.Policy.Current().Stamp()
		if !stamp.NewerThan(own) {
			confirmedAt, asOf := f.outcome(own)
			e.Confirmer.RecordConfirmation(confirmedAt)
			e.Operator.Advance(asOf)
			return
		}
		if f.have != stamp {
			f.have, f.text = stamp, packed.Text{}
		}
		source, err := e.fetchPart(ctx, stamp, sources)
		if err != nil {
			if failures++; failures >= maxFetchRounds {
				e.forgetWanted(stamp) // its sources may be gone for good
				return
			}
			e.Log.Warn("peers: no host sends the configuration", "version", stamp.Version, "revision", stamp.Revision, "bytes", len(f.text.Bytes), "error", err.Error())
			wait.For(ctx, fetchRetryDelay)
			continue
		}
		failures = 0
		f.progressed()
		if source.complete {
			e.applyFetched(stamp, source.host, began)
		}
	}
}

// fetched states where a part came from.
type fetched struct {
	host     string
	complete bool // it was the last one
}

// fetchPart appends the next part of a configuration from the first source that sends it.
func (e *Exchange) fetchPart(ctx context.Context, stamp policy.Stamp, sources []relay.Host) (fetched, error) {
	f := &e.fetch
	lastErr := eris.New("no host is known to have it")
	for _, host := range sources {
		reply := new(packed.Part)
		args := ConfigurationArgs{Revision: stamp.Revision, Version: stamp.Version, Offset: len(f.text.Bytes)}
		err := e.call(ctx, host.Name, host.Address, "Configuration", args, reply)
		complete := false
		if err == nil && reply.Preparing {
			wait.For(ctx, preparingDelay)
			return fetched{host: host.Name}, nil
		}
		if err == nil {
			complete, err = f.text.Append(reply) // begins anew with the text of another build
		}
		if err == nil {
			return fetched{host: host.Name, complete: complete}, nil
		}
		lastErr = eris.Wrap(err, host.Name)
	}
	return fetched{}, lastErr
}

// applyFetched puts the fetched configuration in force and forgets its packed form.
func (e *Exchange) applyFetched(stamp policy.Stamp, source string, began bootclock.Instant) {
	text := e.fetch.text
	e.fetch.have, e.fetch.text = policy.Stamp{}, packed.Text{}
	raw, err := text.Unpack()
	accepted := false
	if err == nil {
		accepted, err = e.Policy.ApplyIfNewer(raw, stamp.Revision)
	}
	switch {
	case err != nil:
		e.Log.Error("peers: cannot use the configuration of a peer", "host", source, "version", stamp.Version, "revision", stamp.Revision, "error", err.Error())
		e.forgetWanted(stamp)
	case accepted:
		e.Log.Info("policy: configuration in force", "version", e.Policy.Current().Version, "revision", stamp.Revision, "source", "peer "+source,
			"bytes", len(raw), "packed_bytes", len(text.Bytes), "took_ms", bootclock.Since(began).Milliseconds())
	}
}

// forgetWanted ends the fetch of a configuration that can't be had or used. It begins again when a host
// states it again.
func (e *Exchange) forgetWanted(stamp policy.Stamp) {
	e.fetch.mu.Lock()
	defer e.fetch.mu.Unlock()
	if e.fetch.wanted == stamp {
		e.fetch.wanted, e.fetch.sources = policy.Stamp{}, nil
	}
}
