package forwarding

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targetconn"
)

// The body of a request of which only some regions may see the content goes to no other host.
func TestHelpersAreAskedForInTheRegionsOfTheRequest(t *testing.T) {
	asked := &helpersOf{}
	pool := newPool(&gate{})
	pool.Forwarder = asked
	req := callersRequest(http.MethodGet, "")
	req.Regions = region.Allowed([]string{"x"})
	_, err := pool.Do(t.Context(), "a@1", "127.0.0.1:1", req)
	require.ErrorIs(t, err, targetconn.ErrNotSent)
	require.Equal(t, []region.Set{req.Regions}, asked.regions)
}
