GOLANGCI_VERSION := v2.12.0
GOLANGCI := .tools/golangci-lint
# The cache names files by their absolute paths, so a checkout must not read the results of another one.
export GOLANGCI_LINT_CACHE := $(CURDIR)/.tools/lint-cache
GOPLS_VERSION := v0.23.0
GOPLS := .tools/gopls

.PHONY: measure plots build demo check format lint test examples fmt soak tools

build:
	go build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

# Compares the policies under load; one JSON object a line.
measure: build
	bin/measure

# Draws the last measurement's gap and utilisation over time to docs/plots.
plots: build
	bin/plots

check: format lint build platform-build test examples

$(GOLANGCI):
	GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

$(GOPLS):
	GOBIN=$(CURDIR)/.tools go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# Installs the formatter and linter, and gopls for renames that follow every use.
tools: $(GOLANGCI) $(GOPLS)

# Fails when a file is not formatted.
format: $(GOLANGCI)
	$(GOLANGCI) fmt --diff ./...

fmt: $(GOLANGCI)
	$(GOLANGCI) fmt ./...

lint: $(GOLANGCI)
	$(GOLANGCI) run --allow-parallel-runners ./...

test:
	scripts/test.sh

SEEDS ?= 200
SEED_START ?= 1

# Runs the controllers through many seeds; the last line counts what happened.
soak:
	go test -c -o bin/soak.test ./internal/soak
	bin/soak.test -test.run '^TestSeeds$$' -test.timeout 0 -seeds $(SEEDS) -seed-start $(SEED_START)

# Each example's output must be accepted by the product's own check.
examples: build
	mkdir -p out
	go run ./examples/dunajlab >out/dunajlab.yaml
	bin/laburnumring config check out/dunajlab.yaml
	go run ./examples/docelar >out/docelar.yaml
	bin/laburnumring config check out/docelar.yaml

.PHONY: bench slopes platform-build platform-soak

# SOAK_FLAGS="--routers 4 --faulty 14s --leaving" or "--lapsing" plays servers that leave while routers are disturbed,
# "--routers 4 --faulty 12s --crashing" prompt parts that crash engines and servers that name limits,
# "--routers 4 --faulty 14s --releasing" software versions that change while all routers are killed,
# "--routers 2 --faulty 10s --flooding" a team whose router gets little processor time.
SOAK_FLAGS ?=

# Runs routers as processes on loopback under random faults; one JSON object a seed, the last line is the sum.
platform-soak: build platform-build
	bin/platformsoak --seeds $(SEEDS) --seed-start $(SEED_START) $(SOAK_FLAGS)

# Builds as the platform does.
platform-build:
	$(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)

bench: build
	bin/bench

slopes: build
	bin/slopes
