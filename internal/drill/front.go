package drill

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"corianderhitch/internal/drill/record"
)

const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	maxMisses     = 2
)

// front is the platform's load balancer, which chooses the host of each new connection.
type front struct {
	fleet  *fleet
	client *http.Client
}

func newFront(f *fleet) *front {
	return &front{fleet: f, client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// watch probes all hosts until the context ends.
func (f *front) watch(ctx context.Context) {
	var wait sync.WaitGroup
	for _, h := range f.fleet.hosts {
		wait.Go(func() { f.watchHost(ctx, h) })
	}
	wait.Wait()
}

func (f *front) watchHost(ctx context.Context, h *host) {
	misses := maxMisses
	for {
		began := time.Now()
		if f.isReady(ctx, h) {
			misses = 0
			if !h.stopping.Load() && !h.ready.Swap(true) {
				f.fleet.log.Host(h.name, record.Ready)
			}
		} else {
			misses++
		}
		h.inRotation.Store(misses < maxMisses)
		if sleep(ctx, probeInterval-time.Since(began)) != nil {
			return
		}
	}
}

func (f *front) isReady(ctx context.Context, h *host) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.fleet.platform.ReadyAddress(h.ip)+f.fleet.platform.ReadyPath(), http.NoBody)
	if err != nil {
		return false
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// choose returns the host for a new connection of a client of a failure domain. It avoids the
// hosts that the call has tried.
func (f *front) choose(domain, client string, tried map[*host]bool) *host {
	candidates := f.candidates(domain)
	if len(candidates) == 0 {
		for _, other := range f.fleet.deployment.Domains {
			if candidates = f.inRotation(other.Name); len(candidates) > 0 {
				break
			}
		}
	}
	if len(candidates) == 0 {
		candidates = f.ofDomain(domain)
	}
	var best *host
	var bestScore uint64
	for _, h := range candidates {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(client + "/" + h.name))
		score := hash.Sum64()
		if tried[h] {
			score = 0
		}
		if best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// candidates returns the hosts of a failure domain in rotation, all of them if that is fewer
// than half, and none if none is.
func (f *front) candidates(domain string) []*host {
	all, in := f.ofDomain(domain), f.inRotation(domain)
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

func (f *front) ofDomain(domain string) []*host {
	var out []*host
	for _, h := range f.fleet.hosts {
		if h.domain == domain {
			out = append(out, h)
		}
	}
	return out
}

func (f *front) inRotation(domain string) []*host {
	var out []*host
	for _, h := range f.ofDomain(domain) {
		if h.inRotation.Load() {
			out = append(out, h)
		}
	}
	return out
}
