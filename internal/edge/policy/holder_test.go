package policy

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform"
)

// decodeVersion decodes a configuration that consists of its version.
func decodeVersion(raw []byte) (*Configuration, error) {
	version, err := strconv.ParseInt(string(raw), 10, 64)
	return &Configuration{Version: version}, err
}

func at(era, number int64) platform.Revision { return platform.NewRevision(era, number) }

// A restored store holds an older version under a revision that is larger, as its era is
// later, and the operator writes the newer version again.
func TestHolderFollowsVersionsAcrossEras(t *testing.T) {
	h := NewHolder(decodeVersion)
	apply := func(version int64, revision platform.Revision) (bool, error) {
		return h.ApplyIfNewer([]byte(strconv.FormatInt(version, 10)), revision)
	}
	accepted, err := apply(5, at(1, 90))
	require.NoError(t, err)
	require.True(t, accepted)
	_, err = apply(3, at(2, 40))
	require.ErrorIs(t, err, ErrOlderVersion)
	require.Equal(t, int64(5), h.Current().Version)
	accepted, err = apply(5, at(2, 44))
	require.NoError(t, err)
	require.False(t, accepted, "the same configuration, written again")
	require.Equal(t, at(2, 44), h.Current().Revision)
	accepted, err = apply(4, at(1, 95))
	require.NoError(t, err)
	require.False(t, accepted, "a late answer of the earlier era")
	accepted, err = apply(9, at(2, 45))
	require.NoError(t, err)
	require.True(t, accepted)
	accepted, err = apply(8, at(2, 44))
	require.NoError(t, err)
	require.False(t, accepted, "an older revision of the same era")
}

// A host that started after the restore holds an older version of the new era; a peer has
// a newer version of the earlier era.
func TestNewerVersionOfEarlierEraReplacesOlderOne(t *testing.T) {
	h := NewHolder(decodeVersion)
	_, err := h.ApplyIfNewer([]byte("3"), at(2, 40))
	require.NoError(t, err)
	accepted, err := h.ApplyIfNewer([]byte("5"), at(1, 90))
	require.NoError(t, err)
	require.True(t, accepted)
}

func TestStampOrder(t *testing.T) {
	require.True(t, Stamp{Version: 1, Revision: 1}.NewerThan(Stamp{}))
	require.False(t, Stamp{}.NewerThan(Stamp{}))
	require.True(t, Stamp{Version: 4, Revision: at(1, 9)}.NewerThan(Stamp{Version: 5, Revision: at(1, 8)}), "within an era the revision decides")
	require.True(t, Stamp{Version: 5, Revision: at(1, 9)}.NewerThan(Stamp{Version: 4, Revision: at(2, 1)}))
	require.False(t, Stamp{Version: 5, Revision: at(2, 1)}.NewerThan(Stamp{Version: 5, Revision: at(1, 9)}))
}
