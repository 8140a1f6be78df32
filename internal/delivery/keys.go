package delivery

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// keyRoot is the prefix of all keys of late delivery in the store.
	keyRoot = "/corianderhitch/late/"
	// shards is the number of parts into which pending requests are split, so that
	// hosts share the search for orphans. A search of all shards costs this many
	// reads.
	shards = 16
)

// requestRef identifies a late request.
type requestRef struct {
	Account string
	ID      string
}

func (ref requestRef) name() string { return ref.Account + "/" + ref.ID }

func (ref requestRef) shard() int { return int(xxhash.Sum64String(ref.name()) % shards) }

func (ref requestRef) pendingKey() string { return shardPrefix(ref.shard()) + ref.name() }

func (ref requestRef) answerKey() string { return keyRoot + "answers/" + ref.name() }

func (ref requestRef) chunkKey(attempt string, n int) string {
	return fmt.Sprintf("%schunks/%s/%s/%04d", keyRoot, ref.name(), attempt, n)
}

func shardPrefix(shard int) string { return fmt.Sprintf("%spending/%02d/", keyRoot, shard) }
