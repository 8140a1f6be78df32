package delivery

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// keyRoot precedes all keys of late delivery in the store.
	keyRoot = "/corianderhitch/late/"
	// shards splits the pending drafts, so that hosts share the search for
	// orphans. A search of all shards costs this many reads.
	shards = 16
)

// draftID names a draft.
type draftID struct {
	Account string
	ID      string
}

func (d draftID) name() string { return d.Account + "/" + d.ID }

func (d draftID) shard() int { return int(xxhash.Sum64String(d.name()) % shards) }

func (d draftID) pendingKey() string { return shardPrefix(d.shard()) + d.name() }

func (d draftID) answerKey() string { return keyRoot + "answers/" + d.name() }

func (d draftID) chunkKey(attempt string, n int) string {
	return fmt.Sprintf("%schunks/%s/%s/%04d", keyRoot, d.name(), attempt, n)
}

func shardPrefix(shard int) string { return fmt.Sprintf("%spending/%02d/", keyRoot, shard) }
