package ingress

import (
	"errors"
	"io"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/memquota"
)

const (
	// wholeBodyBytes is up to which size a body with a length gets its memory at once. Larger ones begin with
	// firstBodyBytes, chunked ones with firstChunkedBytes, and get more as they arrive.
	wholeBodyBytes    = 16 << 10
	firstBodyBytes    = 64 << 10
	firstChunkedBytes = 4 << 10
)

var errBodyTooLarge = errors.New("the body exceeds the limit of the configuration")

// memoryError states that there is no memory for more of a body.
type memoryError struct{ verdict memquota.Verdict }

func (*memoryError) Error() string { return "no memory for the body" }

// bodyReader reads a body into memory that grows with what has arrived, not with what is announced. What
// it allocates is at most four times as much.
type bodyReader struct {
	body   io.Reader
	length int64 // announced; negative for a chunked body
	limit  int64
	hold   *memquota.Hold
	buffer []byte
	n      int // bytes that have arrived
}

// next returns the size of the next buffer.
func (b *bodyReader) next() int64 {
	have := int64(len(b.buffer))
	switch {
	case b.length < 0 && have == 0:
		return min(firstChunkedBytes, b.limit+1)
	case b.length < 0:
		return min(2*have, b.limit+1) // one more byte shows that the body is too large
	case b.length <= wholeBodyBytes:
		return b.length
	case have == 0:
		return min(firstBodyBytes, b.length)
	default:
		return min(4*have, b.length)
	}
}

// grow replaces the buffer by a larger one. Both are held until the bytes have been copied.
func (b *bodyReader) grow() error {
	size, before := b.next(), int64(len(b.buffer))
	if b.length < 0 || b.length > wholeBodyBytes { // other bodies were counted with the head
		if verdict := b.hold.Grow(size, bootclock.Now()); verdict != memquota.Granted {
			return &memoryError{verdict}
		}
	}
	buffer := make([]byte, size)
	copy(buffer, b.buffer[:b.n])
	b.buffer = buffer
	if before > 0 {
		b.hold.Shrink(before)
	}
	return nil
}

// readAll returns the body.
func (b *bodyReader) readAll() ([]byte, error) {
	for {
		if b.n == len(b.buffer) {
			switch have := int64(b.n); {
			case b.length < 0 && have > b.limit:
				return nil, errBodyTooLarge
			case b.length >= 0 && have == b.length:
				return b.buffer, nil
			}
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
		read, err := b.body.Read(b.buffer[b.n:])
		b.n += read
		if b.length < 0 || b.length > wholeBodyBytes {
			b.hold.Received(read, bootclock.Now())
		}
		switch {
		case err == io.EOF && b.length >= 0 && int64(b.n) < b.length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF && int64(b.n) > b.limit:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return b.buffer[:b.n:b.n], nil
		case err != nil:
			return nil, err
		}
	}
}
