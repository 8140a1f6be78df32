package ledger

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// defaultChecks is the number of scripts drawn where -rapid.checks sets none.
const defaultChecks = "2000"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", defaultChecks); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
