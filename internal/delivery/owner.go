package delivery

import (
	"slices"
	"strconv"

	"corianderhitch/internal/rendezvous"
)

// ownsShard tells whether a host searches a shard. A host that knows of no
// others searches all.
func ownsShard(host string, shard int, hosts []string) bool {
	if !slices.Contains(hosts, host) {
		hosts = append([]string{host}, hosts...)
	}
	return rendezvous.Owner("late-shard/"+strconv.Itoa(shard), hosts) == host
}
