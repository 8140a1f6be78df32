package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/docpage"
	"corianderhitch/internal/settings"
)

func TestCommittedPageIsCurrent(t *testing.T) {
	require.NoError(t, docpage.WriteOrCheck("../../../docs/CONFIGURATION.md", true, generate))
}

func TestEverySettingHasUsageAndUniqueFlag(t *testing.T) {
	for _, p := range programs() {
		seen := make(map[string]bool)
		for _, f := range settings.Fields(p.settings) {
			require.NotEmpty(t, f.Usage, "%s --%s", p.name, f.Flag)
			require.False(t, seen[f.Flag], "%s has --%s twice", p.name, f.Flag)
			seen[f.Flag] = true
		}
	}
}
