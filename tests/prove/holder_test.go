package prove

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvhttp"
)

// holderKey is the store's key of the placement holder.
const holderKey = "/corianderhitch/placement/production/holder"

// holding is who holds the placement lease, as the store knows it.
type holding struct {
	host  string
	fence int64 // revision of the key
}

// storeClient returns a client of the store that passes no proxy.
func (c *cluster) storeClient() *kvhttp.Client {
	store := kvhttp.New("http://"+c.storeAt, kvhttp.Options{})
	c.t.Cleanup(func() { store.Close() })
	return store
}

// holder reads the placement holder. It has no host while nobody holds.
func holder(t testing.TB, store platform.Store) holding {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	entry, err := store.Get(ctx, holderKey)
	if err != nil {
		return holding{}
	}
	var record struct {
		Host string `json:"host"`
	}
	require.NoError(t, json.Unmarshal(entry.Value, &record))
	return holding{host: record.Host, fence: int64(entry.Revision)}
}

// hostNamed returns a host by its name.
func (c *cluster) hostNamed(name string) *host {
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	require.FailNowf(c.t, "unknown host", "%q", name)
	return nil
}
