// Package rendezvous implements rendezvous (highest random weight) hashing. All hosts that
// know the same nodes choose the same owner of a key, and adding or removing a node moves
// only the keys of that node.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the node with the highest weight for the key, or "" if there are no nodes.
// The order of nodes does not matter.
func Owner(key string, nodes []string) string {
	best, bestWeight := "", uint64(0)
	for _, node := range nodes {
		w := weight(key, node)
		if best == "" || w > bestWeight || (w == bestWeight && node < best) {
			best, bestWeight = node, w
		}
	}
	return best
}

// Ranked returns a copy of nodes sorted by decreasing weight for the key. The first is
// the owner.
func Ranked(key string, nodes []string) []string {
	ranked := append([]string(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool {
		wi, wj := weight(key, ranked[i]), weight(key, ranked[j])
		if wi != wj {
			return wi > wj
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// weight hashes node and key. Changing it changes the owners of all keys, so hosts of
// different versions would disagree.
func weight(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(node)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Rank returns the position of a node in the order of Ranked: the number of nodes that come
// before it, whether or not it is one of them itself.
func Rank(key, node string, nodes []string) int {
	rank, own := 0, weight(key, node)
	for _, other := range nodes {
		if w := weight(key, other); w > own || w == own && other < node {
			rank++
		}
	}
	return rank
}
