GOLANGCI_VERSION := v2.15.0
BIN := bin
TOOLS := $(CURDIR)/.tools
# An installed golangci-lint is preferred, so that new worktrees need not build it.
GOLANGCI := $(firstword $(wildcard $(shell go env GOPATH)/bin/golangci-lint) $(TOOLS)/golangci-lint)

.PHONY: build test lint fmt demo failures soak soak-faults bench experiment clean tools

build:
	go build -o $(BIN)/ ./binaries/...
	cd standins && go build -o ../$(BIN)/ ./...
	cd experiments && go build -o ../$(BIN)/ ./...

test:
	scripts/test.sh

tools: $(GOLANGCI)

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: tools
	scripts/check-tree.sh
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run
	cd standins && $(GOLANGCI) run --config ../.golangci.yml
	cd experiments && $(GOLANGCI) run --config ../.golangci.yml

fmt: tools
	$(GOLANGCI) fmt

demo: build
	scripts/demo.sh

# Takes up to 4 minutes and is therefore not part of .ci/run.
failures: build
	scripts/failures.sh

# Compares the load policies on simulated workloads and writes CSV and plots.
experiment: build
	$(BIN)/policy-experiment -out out/experiment

# Runs the property tests with more cases and a random seed, which is printed. Set
# BURDOCK_SEED to that seed to repeat a run.
SOAK_FACTOR ?= 10
soak:
	seed=$${BURDOCK_SEED:-$$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}; \
	echo "seed $$seed, $(SOAK_FACTOR) times the cases"; \
	BURDOCK_SEED=$$seed BURDOCK_SOAK=$(SOAK_FACTOR) \
	go test -count=1 -timeout 60m ./internal/...

# Injects random faults into the programs, which run as separate processes on loopback.
# SEED is the first seed; 0 takes one from the clock. SEEDS is the number of seeds to
# run; with 0, seeds are run for MINUTES. LENGTH is the time with faults of each seed.
SEED ?= 0
SEEDS ?= 0
MINUTES ?= 5
LENGTH ?= 30s
INSTANCES ?= 4
soak-faults: build
	$(BIN)/fault-soak -seed $(SEED) -seeds $(SEEDS) -minutes $(MINUTES) -length $(LENGTH) -instances $(INSTANCES)

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

clean:
	rm -rf $(BIN) out
