package delivery

import (
	"slices"
	"strconv"

	"corianderhitch/internal/rendezvous"
)

// ownsShard reports whether the host searches the shard for orphans. A host that
// knows no others owns all shards.
func ownsShard(host string, shard int, hosts []string) bool {
	if !slices.Contains(hosts, host) {
		hosts = append([]string{host}, hosts...)
	}
	return rendezvous.Owner("late-shard/"+strconv.Itoa(shard), hosts) == host
}
