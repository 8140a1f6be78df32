# Nothing but Go and make is needed.

BIN := bin
GO  ?= go
SEED ?= 1
SCENARIO ?= crowded

.PHONY: all build test unit race lint generate generate-check demo prove prove-short experiment bench fuzz-short clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# test runs every test of the project: unit and property tests under the race
# detector, then the tests with real processes.
test: unit race

unit:
	$(GO) test ./...

# race runs the packages with goroutines of their own under the race detector.
race:
	$(GO) test -race $$($(GO) list ./... | grep -v '/tests/')

lint:
	@test -z "$$(gofmt -l .)" || { echo "gofmt would change:"; gofmt -l .; exit 1; }
	$(GO) vet ./...
	cd tools && $(GO) build -o ../$(BIN)/tools/ tool
	$(BIN)/tools/staticcheck ./...
	$(BIN)/tools/revive -config revive.toml -set_exit_status ./...

# generate writes what is made from the code: the page of all settings.
generate:
	$(GO) run ./internal/settings/gendoc

generate-check:
	$(GO) run ./internal/settings/gendoc -check

# experiment runs every policy on the same seeded arrivals in virtual time.
# SEEDS=10 adds the median and the worst over seeds; SCENARIO_FILE=path takes a
# scenario from outside the repository.
SEEDS ?= 1
SCENARIO_FILE ?=
experiment:
	$(GO) run ./cmd/hitchload experiment --scenario "$(SCENARIO)" --scenario-file "$(SCENARIO_FILE)" --seed $(SEED) --seeds $(SEEDS)

# bench prints the cost of each decision in the form that benchstat reads.
BENCH_COUNT ?= 1
bench:
	$(GO) test -run '^$$' -bench . -benchmem -count $(BENCH_COUNT) ./internal/scheduling/...

clean:
	rm -rf $(BIN) out

demo: build
	scripts/demo.sh

# prove brings every fault about with real processes; SEED draws moments.
prove:
	$(GO) test ./tests/prove -count=1 -timeout 10m -v -seed $(SEED) | grep -E '^(PASS|FAIL)  |passed, |^seed |^pairs|^ok|^FAIL|_test.go:|Messages:|Error:'
