package edge_test

import (
	"fmt"
	"os"
	"testing"

	"corianderhitch/tests/harness"
)

func TestMain(m *testing.M) {
	if err := harness.ClaimPorts(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
