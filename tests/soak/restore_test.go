package soak

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform"
)

const (
	// copyInterval is the time between two copies of the store.
	copyInterval = 250 * time.Millisecond
	// maxCopyAge is the age of the oldest copy that the store is restored from.
	maxCopyAge = 15 * time.Second
	// maxRewriteDelay is how long after a restore the operator and the targets have
	// written again what was lost.
	maxRewriteDelay = 1500 * time.Millisecond
)

// backups keeps copies of the store, the oldest first.
type backups struct {
	mu     sync.Mutex
	copies []backup // guarded by mu
}

type backup struct {
	madeAt time.Time
	copy   *memstore.Copy
}

// keepBackups copies the store until ctx ends.
func (c *cluster) keepBackups(ctx context.Context) *backups {
	b := &backups{}
	b.add(c.store.Copy())
	go func() {
		ticker := time.NewTicker(copyInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				b.add(c.store.Copy())
			}
		}
	}()
	return b
}

func (b *backups) add(copied *memstore.Copy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copies = append(b.copies, backup{madeAt: time.Now(), copy: copied})
	if len(b.copies) > int(maxCopyAge/copyInterval) {
		b.copies = b.copies[1:]
	}
}

// ofAge returns the newest copy that is at least that old, or the oldest.
func (b *backups) ofAge(age time.Duration) *memstore.Copy {
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen := b.copies[0]
	for _, candidate := range b.copies {
		if time.Since(candidate.madeAt) >= age {
			chosen = candidate
		}
	}
	return chosen.copy
}

// accompaniments are what may happen just before or after a restore.
var accompaniments = []func(c *cluster, choices faultChoices){
	func(*cluster, faultChoices) {},
	func(c *cluster, _ faultChoices) { c.rotateKeys() },
	func(c *cluster, _ faultChoices) { c.applyNextVersion() },
	func(c *cluster, choices faultChoices) { c.replaceTarget(engineService, choices, c.retireTarget) },
	func(c *cluster, choices faultChoices) { c.replaceTarget(plainService, choices, c.removeTarget) },
	func(c *cluster, choices faultChoices) {
		c.crashAndRestart(c.pickHost(choices), choices.duration/4)
	},
	func(c *cluster, choices faultChoices) {
		var all sync.WaitGroup
		for _, h := range c.hosts {
			all.Go(func() { c.crashAndRestart(h, choices.duration/4) })
		}
		all.Wait()
	},
}

// injectRestores restores the store once or twice within the given time. It has a random
// source of its own, so that the seeds of the other faults keep their meaning.
func (c *cluster) injectRestores(seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := c.keepBackups(ctx)
	share := func(d time.Duration) time.Duration { return time.Duration(random.Float64() * float64(d)) }
	times := 1 + random.IntN(2)
	for range times {
		time.Sleep(share(length / time.Duration(times) / 2))
		away := 100*time.Millisecond + share(min(length/4, 10*time.Second))
		age := 100*time.Millisecond + share(min(length, maxCopyAge))
		accompany, before := accompaniments[random.IntN(len(accompaniments))], random.IntN(2) == 0
		choices := faultChoices{pick: random.Int(), duration: 200*time.Millisecond + share(2*time.Second)}
		delays := rand.New(rand.NewPCG(random.Uint64(), 4))
		var accompanied sync.WaitGroup
		if before {
			accompanied.Go(func() { accompany(c, choices) })
			time.Sleep(share(500 * time.Millisecond))
		}
		c.disturbances.during(storeSubject, "restore", func() {
			c.restore(b, age, away, delays, func() {
				if !before {
					accompanied.Go(func() { accompany(c, choices) })
				}
			})
		})
		accompanied.Wait()
	}
}

// restore takes the store away, brings it back from a copy and lets the operator and the
// targets write again what was lost, each at a time of its own. It calls returned when the
// store is back.
func (c *cluster) restore(b *backups, age, away time.Duration, delays *rand.Rand, returned func()) {
	c.setFault(memstore.Fault{Outage: true})
	time.Sleep(away)
	older := b.ofAge(age)
	c.storeMu.Lock()
	c.store.SetFault(memstore.Fault{})
	before := c.listAll()
	c.store.Restore(older)
	after := c.listAll()
	c.storeMu.Unlock()
	returned()
	var rewritten sync.WaitGroup
	for key := range changedKeys(before, after) {
		delay := time.Duration(delays.Float64() * float64(maxRewriteDelay))
		rewritten.Go(func() {
			time.Sleep(delay)
			c.rewrite(key)
		})
	}
	rewritten.Wait()
}

// listAll returns the entries of the operator and the targets by key. Callers hold storeMu
// and have ended the store's fault.
func (c *cluster) listAll() map[string][]byte {
	all := make(map[string][]byte)
	for _, prefix := range []string{platform.ConfigurationKey, platform.TargetPrefix} {
		entries, _, err := c.store.List(context.Background(), prefix, "", 0)
		require.NoError(c.t, err)
		for _, e := range entries {
			all[e.Key] = e.Value
		}
	}
	return all
}

// changedKeys returns the keys whose values differ.
func changedKeys(before, after map[string][]byte) map[string]bool {
	changed := make(map[string]bool)
	for key, value := range before {
		if old, ok := after[key]; !ok || !bytes.Equal(old, value) {
			changed[key] = true
		}
	}
	for key := range after {
		if _, ok := before[key]; !ok {
			changed[key] = true
		}
	}
	return changed
}

// rewrite writes the latest value that the owner of a key wrote, or deletes the key if its
// owner did.
func (c *cluster) rewrite(key string) {
	c.bypassFault(func() error {
		if value := c.written[key]; value != nil {
			_, err := c.store.Put(context.Background(), key, value, ports.AnyRevision, 0)
			return err
		}
		err := c.store.Delete(context.Background(), key, ports.AnyRevision)
		if errors.Is(err, ports.ErrNotFound) {
			return nil
		}
		return err
	})
}
