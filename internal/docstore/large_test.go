package docstore

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// maxAccounts is the number of client accounts that the system is sized for.
const maxAccounts = 27_000

// documentWithAccounts returns a document with the given number of accounts. Its key
// hashes do not compress.
func documentWithAccounts(t testing.TB, accounts int) document.Document {
	d := example(t, "trial")
	pattern := d.Accounts[0]
	d.Accounts = nil
	random := rand.New(rand.NewPCG(1, 2))
	for i := range accounts {
		a := pattern
		a.Name = fmt.Sprintf("account-%05d", i)
		a.KeyHashes = []string{document.HashKey(fmt.Sprint(i))}
		a.Weight = float64(1 + random.IntN(9))
		a.Limits.Concurrent = 1 + random.IntN(60)
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

func TestLargeDocumentIsStoredInChunks(t *testing.T) {
	memory := memstore.New(memstore.Options{})
	s := New(memory)
	s.chunkBytes = 32 << 10
	d := documentWithAccounts(t, 2000)
	accepted, err := s.Apply(t.Context(), request(d, 0))
	require.NoError(t, err)
	current, _, err := s.Current(t.Context(), "trial")
	require.NoError(t, err)
	require.Equal(t, accepted, current)
	chunks := listEntries(t, memory, document.ChunkKey(""))
	require.Greater(t, len(chunks), 1)
	record, err := memory.Get(t.Context(), document.CurrentKey("trial"))
	require.NoError(t, err)
	require.Less(t, len(record.Value), 4<<10, "the current record only refers to the chunks")

	_, err = s.Rollback(t.Context(), RollbackRequest{Environment: "trial", ToRevision: 1, Base: 1})
	require.NoError(t, err)
	require.Len(t, listEntries(t, memory, document.ChunkKey("")), len(chunks), "equal content is stored once")
}

func TestBodyOfLargestDocumentFitsStore(t *testing.T) {
	s := New(memstore.New(memstore.Options{}))
	body, err := document.Encode(documentWithAccounts(t, maxAccounts))
	require.NoError(t, err)
	require.Greater(t, len(body), platform.MaxValueBytes)
	ref, chunks, err := pack(body, s.chunkBytes)
	require.NoError(t, err)
	require.Greater(t, len(chunks), 1)
	require.NoError(t, s.writeBody(t.Context(), ref, chunks), "no chunk exceeds the store's largest value")
	again, err := s.readBody(t.Context(), ref)
	require.NoError(t, err)
	require.True(t, bytes.Equal(body, again))
}

func TestCorruptBodyIsDetected(t *testing.T) {
	memory := memstore.New(memstore.Options{})
	s := New(memory)
	_, err := s.Apply(t.Context(), request(documentWithAccounts(t, 3000), 0))
	require.NoError(t, err)
	chunk := listEntries(t, memory, document.ChunkKey(""))[0]
	chunk.Value[len(chunk.Value)/2] ^= 1
	_, err = memory.Put(t.Context(), chunk.Key, chunk.Value, platform.AnyRevision, 0)
	require.NoError(t, err)
	_, _, err = s.Current(t.Context(), "trial")
	require.ErrorContains(t, err, "roll back")
	require.NoError(t, memory.Delete(t.Context(), chunk.Key, platform.AnyRevision))
	_, _, err = s.Current(t.Context(), "trial")
	require.ErrorContains(t, err, "is missing in the store")
}

func listEntries(t *testing.T, memory *memstore.Store, prefix string) []platform.Entry {
	t.Helper()
	entries, _, err := memory.List(t.Context(), prefix, "", 0)
	require.NoError(t, err)
	return entries
}

// BenchmarkApply reports the time, store calls and bytes of one change.
func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{10, maxAccounts} {
		b.Run(fmt.Sprintf("%d accounts", accounts), func(b *testing.B) {
			memory := memstore.New(memstore.Options{})
			s := New(memory)
			d := documentWithAccounts(b, accounts)
			body, err := document.Encode(d)
			require.NoError(b, err)
			ref, chunks, err := pack(body, s.chunkBytes)
			require.NoError(b, err)
			revision := int64(0)
			for b.Loop() {
				accepted, err := s.Apply(b.Context(), request(variant(d, int(revision)), revision))
				require.NoError(b, err)
				revision = accepted.Revision
			}
			record, err := memory.Get(b.Context(), document.CurrentKey("trial"))
			require.NoError(b, err)
			counts := memory.Counts()
			b.ReportMetric(float64(counts.Reads)/float64(revision), "reads/op")
			b.ReportMetric(float64(counts.Writes)/float64(revision), "writes/op")
			b.ReportMetric(float64(ref.Bytes), "document-B")
			b.ReportMetric(float64(len(bytes.Join(chunks, nil))), "chunks-B")
			b.ReportMetric(float64(len(chunks)), "chunks")
			b.ReportMetric(float64(len(record.Value)), "record-B")
		})
	}
}
