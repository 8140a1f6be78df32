package ledger

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// defaultRapidChecks is the number of scripts drawn if -rapid.checks is not set.
const defaultRapidChecks = "2000"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", defaultRapidChecks); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
