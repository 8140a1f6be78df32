package outbound

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHeadWithoutEndIsBroken(t *testing.T) {
	// The sockets of a connection hold what is written and not read.
	const playedBytes, socketBytes = 64 << 20, 8 << 20
	filler := strings.Repeat("x", 4<<10)
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":  {"HTTP/1.1 200 ", filler},
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", filler},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n"},
		"interim":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"garbage":      {"", filler},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			address, _ := peer(t, func(_ int32, conn net.Conn) {
				if readRequest(conn) == nil {
					return
				}
				total := 0
				for text := c.start; total < playedBytes; text = c.repeated {
					n, err := io.WriteString(conn, text)
					total += n
					if err != nil {
						break
					}
				}
				written <- total
			})
			transport := New(Dialer(""))
			defer transport.Close()
			_, err := transport.DoOnce(post(t.Context(), t, address, "x"))
			require.ErrorIs(t, err, ErrBroken)
			require.LessOrEqual(t, <-written, maxHeaderBytes+socketBytes)
		})
	}
}
