// Package packed compresses texts that hosts send each other in parts.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxBytes bounds a compressed text.
	MaxBytes = 4 << 20
	// maxUnpackedBytes bounds a text.
	maxUnpackedBytes = 16 << 20
)

// Text is a compressed text, or the start of one.
type Text struct {
	Bytes []byte
	Sum   uint64 // xxhash of all its bytes
}

// Pack compresses a text.
func Pack(raw []byte) Text {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // only an unknown level fails
	_, _ = w.Write(raw)                             // a bytes.Buffer never fails
	_ = w.Close()
	return Text{Bytes: b.Bytes(), Sum: xxhash.Sum64(b.Bytes())}
}

// Unpack returns the text. It returns an error if t is damaged or the text is too large.
func (t Text) Unpack() ([]byte, error) {
	if sum := xxhash.Sum64(t.Bytes); sum != t.Sum {
		return nil, eris.Errorf("packed: text of %d bytes has sum %x instead of %x", len(t.Bytes), sum, t.Sum)
	}
	r, err := gzip.NewReader(bytes.NewReader(t.Bytes))
	if err != nil {
		return nil, eris.Wrap(err, "packed: text cannot be unpacked")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "packed: text cannot be unpacked")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, eris.Errorf("packed: text exceeds %d bytes", maxUnpackedBytes)
	}
	return raw, nil
}

// Part is a part of a text, as a host sends it.
type Part struct {
	Has bool // false if the host has another text
	// Preparing means that the host is still compressing the text; the other fields are not set yet.
	Preparing bool

	Sum   uint64 // of the whole; parts with different sums do not belong together
	Size  int    // of the whole, in bytes
	Bytes []byte
}

// Part returns the part of a text from offset on, with at most size bytes.
func (t Text) Part(offset, size int) Part {
	p := Part{Has: true, Sum: t.Sum, Size: len(t.Bytes)}
	if offset >= 0 && offset < len(t.Bytes) {
		p.Bytes = t.Bytes[offset:min(offset+size, len(t.Bytes))]
	}
	return p
}

// Append appends the next part of the text. If the part belongs to another text, t becomes empty, and the next
// part must be its first. complete reports whether t is whole.
func (t *Text) Append(p *Part) (complete bool, err error) {
	switch {
	case !p.Has || p.Size <= 0 || p.Size > MaxBytes:
		return false, eris.Errorf("packed: host has another text, or one of %d bytes", p.Size)
	case len(t.Bytes) > 0 && p.Sum != t.Sum:
		*t = Text{}
		return false, nil
	case len(p.Bytes) == 0 || len(t.Bytes)+len(p.Bytes) > p.Size:
		return false, eris.Errorf("packed: host sent %d bytes after %d of %d", len(p.Bytes), len(t.Bytes), p.Size)
	}
	t.Sum, t.Bytes = p.Sum, append(t.Bytes, p.Bytes...)
	return len(t.Bytes) == p.Size, nil
}
