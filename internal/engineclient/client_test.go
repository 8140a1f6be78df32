package engineclient

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/outbound"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestDecodeTokenMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := engine.Token{
			Generation: rapid.String().Draw(rt, "generation"),
			Offset:     rapid.IntRange(0, 1<<40).Draw(rt, "offset"),
			Text:       rapid.OneOf(rapid.String(), rapid.StringMatching(`[ -~]*`)).Draw(rt, "text"),
		}
		data, err := json.Marshal(want)
		require.NoError(rt, err)
		got, err := decodeToken(data)
		require.NoError(rt, err)
		require.Equal(rt, want, got)
	})
}

func serve(t *testing.T, answer http.HandlerFunc) (client *Client, address string) {
	server := httptest.NewServer(answer)
	transport := outbound.New(outbound.Dialer(""))
	t.Cleanup(func() {
		transport.Close()
		server.Close()
	})
	return New(transport), strings.TrimPrefix(server.URL, "http://")
}

func text(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

// outcome starts a generation and reads its stream to the end.
func outcome(t *testing.T, answer http.HandlerFunc) (tokens int, err error) {
	client, address := serve(t, answer)
	s, err := client.Start(t.Context(), address, engine.GenerateRequest{ID: "g"})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil || event.Done != nil {
			return tokens, err
		}
		tokens++
	}
}

const token = "event: token\ndata: {\"generation\":\"g\",\"offset\":0,\"text\":\"a\"}\n\n"

func TestResponsesMapToErrors(t *testing.T) {
	reject := func(kind problem.Kind, status int, ran problem.Ran) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			problem.Write(w, problem.New(kind, status, ran, "remedy", "detail"))
		}
	}
	failure := `event: error` + "\n" + `data: {"kind":"target-failed","ran":"yes","status":500}` + "\n\n"
	cases := []struct {
		name   string
		answer http.HandlerFunc
		tokens int
		want   error
	}{
		{"whole", text(": comment\n\n" + token + "event: done\r\ndata: {\"tokens\":1}\r\n\r\n"), 1, nil},
		{"truncated between events", text(token), 1, ErrBroken},
		{"truncated within an event", text(token + token[:20]), 1, ErrBroken},
		{"failed", text(token + failure), 1, ErrFailed},
		{"unknown event", text("event: x\ndata: y\n\n"), 0, ErrProtocol},
		{"bad JSON", text("event: token\ndata: {\n\n"), 0, ErrProtocol},
		{"empty lines", text(strings.Repeat("\n", maxBytesPerEvent+1)), 0, ErrProtocol},
		{"comments", text(strings.Repeat(": comment\n", maxLineBytes)), 0, ErrProtocol},
		{"names of an event", text(strings.Repeat("event: token\n", maxLineBytes)), 0, ErrProtocol},
		{"comments between tokens", text(strings.Repeat(strings.Repeat(": comment\n\n", 100)+token, 1000) + "event: done\ndata: {\"tokens\":1}\n\n"), 1000, nil},
		{"endless line", text("data: " + strings.Repeat("x", maxLineBytes+100000)), 0, ErrProtocol},
		{"rejected", reject(problem.KindDraining, 503, problem.RanNo), 0, ErrRejected},
		{"unknown generation", reject(problem.KindNotFound, 404, problem.RanUnknown), 0, ErrUnknownGeneration},
		{"failed before the first event", reject(problem.KindInternal, 500, problem.RanUnknown), 0, ErrFailed},
		{"no problem document", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x", http.StatusBadGateway) }, 0, ErrProtocol},
		{"closed without an answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, ErrBroken},
	}
	for _, c := range cases {
		tokens, err := outcome(t, c.answer)
		require.Equal(t, c.tokens, tokens, c.name)
		if c.want == nil {
			require.NoError(t, err, c.name)
		} else {
			require.True(t, errors.Is(err, c.want), "%s: %v", c.name, err)
		}
	}
}

func TestTokenLargerThanTheReadBuffer(t *testing.T) {
	long := strings.Repeat("y", 3*readBufferBytes)
	data, err := json.Marshal(engine.Token{Generation: "g", Text: long})
	require.NoError(t, err)
	client, address := serve(t, text("event: token\ndata: "+string(data)+"\n\n"))
	s, err := client.Attach(t.Context(), address, "g", 0)
	require.NoError(t, err)
	defer s.Close()
	event, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, long, event.Token.Text)
}

// The status in a problem document reaches the caller's response, where one that HTTP
// does not know ends the handler.
func TestProblemDocumentWithInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 7, 200, 1000} {
		_, err := outcome(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(problem.Document{Kind: problem.KindOverloaded, Ran: problem.RanNo, Status: status})
		})
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected)
		require.Equal(t, http.StatusServiceUnavailable, rejected.Problem.Status, "status %d", status)
	}
}
