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

// leaseKey is the store's key of the placement lease.
const leaseKey = "/corianderhitch/placement/production/holder"

// leaseHolder is the holder of the placement lease according to the store.
type leaseHolder struct {
	host         string
	fencingToken int64 // revision of the key
}

// storeClient returns a client that connects to the store without a proxy.
func (c *cluster) storeClient() *kvhttp.Client {
	store := kvhttp.New("http://"+c.storeAddress, kvhttp.Options{})
	c.t.Cleanup(func() { store.Close() })
	return store
}

// readLeaseHolder reads the holder of the placement lease. It returns the zero value if
// nobody holds the lease or the store does not answer.
func readLeaseHolder(t testing.TB, store platform.Store) leaseHolder {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	entry, err := store.Get(ctx, leaseKey)
	if err != nil {
		return leaseHolder{}
	}
	var record struct {
		Host string `json:"host"`
	}
	require.NoError(t, json.Unmarshal(entry.Value, &record))
	return leaseHolder{host: record.Host, fencingToken: int64(entry.Revision)}
}

// hostNamed returns the host of that name and fails the test if there is none.
func (c *cluster) hostNamed(name string) *host {
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	require.FailNowf(c.t, "unknown host", "%q", name)
	return nil
}
