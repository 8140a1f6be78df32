package process

import (
	"maps"

	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/region"
)

// regionsOf returns the region of each failure domain that the settings of a host name.
func regionsOf(n *node.Node) region.Map {
	regions := maps.Clone(n.Regions)
	if regions == nil {
		regions = make(map[string]string)
	}
	if _, ok := regions[n.Domain]; !ok && n.Region != "" {
		regions[n.Domain] = n.Region
	}
	return regions
}
