package policy

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// maxUnpackedBytes bounds the text of a configuration that another host has packed.
const maxUnpackedBytes = 16 << 20

// Packed is the compressed text of a configuration.
type Packed struct {
	Bytes []byte
	Sum   uint64 // xxhash of Bytes
}

// Packed returns the compressed text. The first call compresses it.
func (s *Snapshot) Packed() Packed {
	s.packOnce.Do(func() {
		var b bytes.Buffer
		w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // only an unknown level fails
		_, _ = w.Write(s.Raw)                           // a bytes.Buffer never fails
		_ = w.Close()
		s.packed = Packed{Bytes: b.Bytes(), Sum: xxhash.Sum64(b.Bytes())}
	})
	return s.packed
}

// Unpack returns the text of a configuration. It returns an error if p is damaged or the text is too large.
func (p Packed) Unpack() ([]byte, error) {
	if sum := xxhash.Sum64(p.Bytes); sum != p.Sum {
		return nil, eris.Errorf("policy: packed configuration of %d bytes has sum %x instead of %x", len(p.Bytes), sum, p.Sum)
	}
	r, err := gzip.NewReader(bytes.NewReader(p.Bytes))
	if err != nil {
		return nil, eris.Wrap(err, "policy: configuration cannot be unpacked")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "policy: configuration cannot be unpacked")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, eris.Errorf("policy: unpacked configuration exceeds %d bytes", maxUnpackedBytes)
	}
	return raw, nil
}
