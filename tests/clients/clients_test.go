package clients

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Heads of legal size with thousands of header lines cost a hundred times their size: each line is a map
// entry, two strings and a slice, which were copied for the request to a target.
func TestManyHeaderLines(t *testing.T) {
	h := startHost(t, descriptors)
	startCrowd(t, h, 480, func(i int, id string, c *client) {
		lines := oddHeads[i%len(oddHeads)]
		switch i / len(oddHeads) % 3 {
		case 0: // the body stops short of its end
			c.write(head(id, "/hold/x", lines, 600) + strings.Repeat("x", 599))
		case 1: // the head does
			c.write(strings.TrimSuffix(head(id, "/hold/x", lines, 600), "\r\n"))
		default: // the target takes a while
			c.write(head(id, "/hold/slow", lines, 600) + strings.Repeat("x", 600))
		}
		c.awaitClose()
	})
	h.requireBounded(t)
}

// writePieces writes text in pieces over a second, or at once.
func writePieces(c *client, text string, pieces int) {
	for i := range pieces {
		c.write(text[len(text)*i/pieces : len(text)*(i+1)/pieces])
		if pieces > 1 {
			time.Sleep(time.Second / time.Duration(pieces))
		}
	}
}

// Bodies of the largest size that arrive at once, of which three in four never end, were all buffered
// until their callers' deadlines.
func TestManyLargeBodies(t *testing.T) {
	h := startHost(t, descriptors)
	body := strings.Repeat("x", maxBodyBytes)
	startCrowd(t, h, 48, func(i int, id string, c *client) {
		c.write(head(id, "/hold/x", "", len(body)))
		sent := body
		if i%4 != 0 {
			sent = body[:len(body)-1]
		}
		pieces := 1
		if i%2 != 0 {
			pieces = 64
		}
		writePieces(c, sent, pieces)
		c.awaitClose()
	})
	h.requireBounded(t)
}

// chunked returns the chunks of a body of n bytes, without the last, empty chunk.
func chunked(n, size int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return strings.Repeat(chunk, n/size)
}

// Chunked bodies announce no length, so that a host has to bound them by what arrives.
func TestManyChunkedBodies(t *testing.T) {
	h := startHost(t, descriptors)
	bodies := []string{chunked(maxBodyBytes, 64<<10), chunked(maxBodyBytes, 1<<20), chunked(maxBodyBytes, 16), chunked(maxBodyBytes/4, 1)}
	startCrowd(t, h, 48, func(i int, id string, c *client) {
		c.write(head(id, "/hold/x", "", -1))
		pieces := 1
		if i/len(bodies)%2 != 0 {
			pieces = 64
		}
		writePieces(c, bodies[i%len(bodies)], pieces)
		if i%8 == 0 {
			c.write("0\r\n\r\n")
		}
		c.awaitClose()
	})
	h.requireBounded(t)
}

// fewDescriptors are less than any host has, so that a small crowd reaches them.
const fewDescriptors = 600

// Connections that send nothing, or half a head or body, took a descriptor each until none was left.
func TestManySilentConnections(t *testing.T) {
	h := startHost(t, fewDescriptors)
	startCrowd(t, h, 700, func(i int, id string, c *client) {
		whole := head(id, "/hold/x", "", 600)
		switch i % 4 {
		case 0: // nothing
		case 1: // half a head
			c.write(whole[:len(whole)/2])
		case 2: // half a body
			c.write(whole + strings.Repeat("x", 300))
		default: // a whole request, and then nothing
			c.write(whole + strings.Repeat("x", 600))
		}
		c.awaitClose()
	})
	h.requireBounded(t)
}

// Answers wait in the host's memory for callers that read a few bytes a second.
func TestManySlowReaders(t *testing.T) {
	h := startHost(t, descriptors)
	startCrowd(t, h, 480, func(i int, id string, c *client) {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		path := "/hold/middle"
		if i%4 == 0 {
			path = "/hold/large"
		}
		c.write(head(id, path, "", 600) + strings.Repeat("x", 600))
		buffer := make([]byte, 64)
		_ = c.conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		for {
			if _, err := c.conn.Read(buffer); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	h.requireBounded(t)
}
