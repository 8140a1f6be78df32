package modelplacement

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/outbound"
)

func TestOrderAnswerBeyondItsBoundsIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		head, body int
		ok         bool
	}{
		"within": {maxHeadBytes / 2, maxAnswerBytes / 2, true},
		"head":   {2 * maxHeadBytes, 0, false},
		"body":   {0, 2 * maxAnswerBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Filler", strings.Repeat("x", c.head))
				_, _ = w.Write([]byte("{" + strings.Repeat(" ", c.body) + "}"))
			}))
			defer engine.Close()
			client := NewHTTPOrderClient(outbound.Dialer(""))
			defer client.client.CloseIdleConnections()
			_, err := client.State(t.Context(), engine.Listener.Addr().String())
			require.Equal(t, c.ok, err == nil, "%v", err)
		})
	}
}
