package drill

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhitch/internal/drill/record"
)

// operator writes the configuration.
type operator struct {
	fleet *fleet

	mu      sync.Mutex
	current Configuration // guarded by mu
	keys    int           // guarded by mu; number of keys ever made
	using   []string      // guarded by mu; key that callers use, by account
}

func newOperator(f *fleet) *operator {
	o := &operator{fleet: f, current: Configuration{Timeouts: make(map[string]time.Duration), Services: make(map[string]string)}}
	for _, k := range f.deployment.Kinds {
		o.current.Timeouts[k.Name], o.current.Services[k.Name] = k.Timeout, k.Service
	}
	for range max(1, f.deployment.Accounts) {
		key := o.newKey()
		o.current.Keys = append(o.current.Keys, []string{key})
		o.using = append(o.using, key)
	}
	return o
}

// newKey returns a key that no configuration has held.
func (o *operator) newKey() string {
	o.keys++
	return fmt.Sprintf("key-%d-%d", o.fleet.options.Seed, o.keys)
}

// write writes the next version of the configuration, changed by change.
func (o *operator) write(change func(*Configuration)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.current
	next.Version++
	next.Timeouts, next.Services = maps.Clone(next.Timeouts), maps.Clone(next.Services)
	change(&next)
	v := record.Version{Number: next.Version, Sent: time.Now(), Services: next.Services}
	if err := o.fleet.store.PutConfiguration(&next); err != nil {
		return err
	}
	v.Acked = time.Now()
	o.current = next
	o.fleet.log.Version(v)
	return nil
}

// key returns the key of a client account.
func (o *operator) key(account int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.using[account]
}

// rotate gives an account a new key, lets its callers use that, and revokes the old one.
func (o *operator) rotate(account int) error {
	o.mu.Lock()
	key := o.newKey()
	o.mu.Unlock()
	if err := o.write(func(c *Configuration) { c.Keys = withKeys(c.Keys, account, append(c.Keys[account], key)) }); err != nil {
		return err
	}
	bound := o.fleet.deployment.Bounds.Apply + o.fleet.deployment.Bounds.Contact
	if err := sleep(o.fleet.ctx, bound); err != nil {
		return err
	}
	o.mu.Lock()
	o.using[account] = key
	o.mu.Unlock()
	if err := sleep(o.fleet.ctx, bound); err != nil {
		return err
	}
	return o.write(func(c *Configuration) { c.Keys = withKeys(c.Keys, account, []string{key}) })
}

// withKeys returns the keys of all accounts with those of one replaced.
func withKeys(all [][]string, account int, keys []string) [][]string {
	out := append([][]string(nil), all...)
	out[account] = append([]string(nil), keys...)
	return out
}

// move moves a random route of a plain service to the service's other half, or back.
func (o *operator) move(r *rand.Rand) error {
	var moved []string
	for _, k := range o.fleet.deployment.Kinds {
		if o.fleet.deployment.Service(otherService(k.Service)) != nil {
			moved = append(moved, k.Name)
		}
	}
	if len(moved) == 0 {
		return nil
	}
	name := moved[r.IntN(len(moved))]
	home := o.fleet.deployment.Kind(name).Service
	return o.write(func(c *Configuration) {
		if c.Services[name] == home {
			c.Services[name] = otherService(home)
		} else {
			c.Services[name] = home
		}
	})
}

// otherService returns the name of the service to which a service's routes may move.
func otherService(name string) string { return name + "-b" }
