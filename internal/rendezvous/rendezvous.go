// Package rendezvous chooses an owner for a key by highest random weight.
// All nodes with the same view choose the same owner, and a change of one node
// moves only the keys of that node.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the node that owns the key, or "" if there are no nodes.
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

// Ranked returns the nodes by falling weight for the key. The first is the owner.
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

func weight(key, node string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
