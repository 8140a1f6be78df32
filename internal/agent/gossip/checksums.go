// Package gossip provides the replication mechanisms of all tables that agents share:
// rumors, each of which a member sends to a number of peers that is logarithmic in the
// size of the fleet, and checksums, which find differences between two replicas of a
// table (anti-entropy).
//
// A change spreads as a rumor. Where a rumor does not arrive, the checksums differ
// and the agents exchange the rows of the differing buckets. Nothing in this package
// is safe for concurrent use.
package gossip

import (
	"github.com/cespare/xxhash/v2"

	"corianderhitch/api/control"
)

// BucketCount is the number of buckets of a control.Digest. With 32 buckets, repairing
// one row of a table of 410 transfers 13 rows, and the checksums take 256 bytes.
const BucketCount = 32

// Checksums are the checksum of a table and of each of its buckets. The order in which
// rows are added does not matter. The zero value belongs to an empty table.
type Checksums struct {
	total   uint64
	buckets [BucketCount]uint64
}

// Add adds a row with the given key and content hash. Adding the same row a second time
// removes it.
func (c *Checksums) Add(key string, hash uint64) {
	c.total ^= hash
	c.buckets[Bucket(key)] ^= hash
}

// Short returns the digest without bucket checksums.
func (c *Checksums) Short() control.Digest { return control.Digest{Sum: c.total} }

// Full returns the digest with bucket checksums.
func (c *Checksums) Full() control.Digest {
	return control.Digest{Sum: c.total, Buckets: append([]uint64(nil), c.buckets[:]...)}
}

// DifferingBuckets marks the buckets whose checksum differs from that in the peer's full
// digest. It returns false if none differs or the digest has no bucket checksums.
func (c *Checksums) DifferingBuckets(peer control.Digest) (buckets [BucketCount]bool, differ bool) {
	if len(peer.Buckets) != BucketCount {
		return buckets, false
	}
	for i, sum := range c.buckets {
		buckets[i] = sum != peer.Buckets[i]
		differ = differ || buckets[i]
	}
	return buckets, differ
}

// Bucket returns the index of the bucket that holds the row with the given key.
func Bucket(key string) int { return int(xxhash.Sum64String(key) % BucketCount) }

// Hash returns the content hash of a row, computed from its key, its state and the
// numbers that order its versions.
func Hash(key, state string, numbers ...int64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key + "\x00" + state)
	var b [8]byte
	for _, n := range numbers {
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}
