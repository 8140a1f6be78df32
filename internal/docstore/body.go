package docstore

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Limits of a stored body.
const (
	maxChunkBytes = 768 << 10 // below platform.MaxValueBytes, with room for encoding overhead
	maxBodyBytes  = 64 << 20  // twice document.MaxSourceBytes; bounds the memory that a corrupt chunk can expand to
)

// bodyRef refers to a document body: canonical JSON, compressed with gzip and split
// into chunks that are stored under their own digests.
type bodyRef struct {
	Digest string   `json:"digest"` // SHA-256 of the canonical JSON, hex
	Bytes  int      `json:"bytes"`  // length of the canonical JSON
	Chunks []string `json:"chunks"` // SHA-256 of each chunk, hex
}

// errDigestMismatch means that a stored document was changed by other means than
// this package.
var errDigestMismatch = eris.New("the stored document does not match its digest; roll back to another revision")

// pack compresses a body and splits it into chunks of at most chunkBytes.
func pack(body []byte, chunkBytes int) (bodyRef, [][]byte, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.DefaultCompression)
	if err != nil {
		return bodyRef{}, nil, eris.Wrap(err, "cannot compress the document")
	}
	if _, err := w.Write(body); err != nil {
		return bodyRef{}, nil, eris.Wrap(err, "cannot compress the document")
	}
	if err := w.Close(); err != nil {
		return bodyRef{}, nil, eris.Wrap(err, "cannot compress the document")
	}
	ref := bodyRef{Digest: digest(body), Bytes: len(body)}
	var chunks [][]byte
	for rest := packed.Bytes(); len(rest) > 0; {
		n := min(chunkBytes, len(rest))
		chunks = append(chunks, rest[:n])
		ref.Chunks = append(ref.Chunks, digest(rest[:n]))
		rest = rest[n:]
	}
	return ref, chunks, nil
}

// writeBody stores the chunks of a body.
func (s *Store) writeBody(ctx context.Context, ref bodyRef, chunks [][]byte) error {
	for i, chunk := range chunks {
		if err := s.write(ctx, document.ChunkKey(ref.Chunks[i]), chunk); err != nil {
			return eris.Wrap(err, "cannot write the document's body; nothing was changed")
		}
	}
	return nil
}

// readBody reads a body and verifies its digest.
func (s *Store) readBody(ctx context.Context, ref bodyRef) ([]byte, error) {
	var packed bytes.Buffer
	for _, name := range ref.Chunks {
		entry, err := s.store.Get(ctx, document.ChunkKey(name))
		if errors.Is(err, platform.ErrNotFound) {
			return nil, eris.Errorf("part %s of the document is missing in the store; roll back to another revision", name)
		}
		if err != nil {
			return nil, eris.Wrap(err, "cannot read the document's body")
		}
		packed.Write(entry.Value)
	}
	r, err := gzip.NewReader(&packed)
	if err != nil {
		return nil, eris.Wrap(err, "the document's body is damaged; roll back to another revision")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return nil, eris.Wrap(err, "the document's body is damaged; roll back to another revision")
	}
	if digest(body) != ref.Digest {
		return nil, errDigestMismatch
	}
	return body, nil
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
