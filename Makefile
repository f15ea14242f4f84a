GOLANGCI_VERSION := v2.15.0
BIN := bin
TOOLS := $(CURDIR)/.tools
# The shared install is used when it is there, so that fresh worktrees do not
# compile the linter again.
GOLANGCI := $(firstword $(wildcard $(shell go env GOPATH)/bin/golangci-lint) $(TOOLS)/golangci-lint)
PACKAGES := ./...

.PHONY: build test race lint fmt demo soak bench experiment clean tools

build:
	go build -o $(BIN)/ ./binaries/...
	cd standins && go build -o ../$(BIN)/ ./...

test:
	go vet $(PACKAGES)
	go test -race $(PACKAGES)
	cd standins && go vet ./... && go test ./...

# Property tests with a random seed, which a failure prints.
SOAK_RUNS ?= 5000
soak:
	BURDOCKRELAY_SOAK_RUNS=$(SOAK_RUNS) go test -count=1 -timeout 2h -v -run 'Planned|Kills|Freezes|Partitions|Combined|FullTable' ./internal/decision/flow

tools: $(GOLANGCI)

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: tools
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run
	cd standins && $(GOLANGCI) run --config ../.golangci.yml

fmt: tools
	$(GOLANGCI) fmt

demo: build
	scripts/demo.sh

clean:
	rm -rf $(BIN) out
