# Package patterns of the modules in this workspace that hold the project's code.
PACKAGES = ./... ./standin/...

.PHONY: all build test lint tools gen docs demo play bench control seeds soak soak-virtual experiment
all: build

# Builds the two binaries that are shipped.
build:
	go build -o bin/ ./cmd/...

# Runs the tests under the race detector. Tests named in KNOWN-RED.txt are
# skipped and listed.
test:
	bash .ci/test $(PACKAGES)

# Runs the formatter check, vet and the linter.
lint:
	bash .ci/lint $(PACKAGES)

# Installs gopls, the tool for renames, into GOBIN. It is not in tools/go.mod,
# where its dependencies conflict with the linter's.
GOPLS_VERSION = v0.23.0
tools:
	go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# Regenerates the committed protobuf code; needs tools/.
gen:
	go tool buf generate

# Writes docs/EVENTS.md and docs/SETTINGS.md from the code.
docs:
	go test ./cmd/carawayd -run Page -update

# Runs the whole system as separate processes on loopback. TARGET is the daemon
# that receives the calls, 1 to 3.
TARGET ?= 1
demo:
	go run ./standin/demo --target=$(TARGET)

# Runs the same system until interrupted, for experiments; see
# docs/OPERATIONS.md.
play:
	go run ./standin/demo --hold --target=$(TARGET)

# Measures the overhead of a daemon relative to calling an engine directly, as
# ratios within one run.
bench:
	go run ./standin/bench

# Measures the cost of the control plane when there are no calls.
control:
	go run ./standin/control

# Runs randomised simulations of whole daemons in virtual time, without the race
# detector, TOGETHER at a time.
SEEDS ?= 200
TOGETHER ?= $(shell nproc)
seeds:
	go test ./standin/runs -run TestSeeds -seeds $(SEEDS) -parallel $(TOGETHER) -timeout 90m -v

# Injects faults into real processes on loopback: COUNT seeds starting at SEED,
# each with MINUTES of faults.
SEED ?= 1
COUNT ?= 50
MINUTES ?= 1
soak:
	go test ./standin/soak -run TestSoak -soak-seed $(SEED) -soak-count $(COUNT) -soak-seconds $$(($(MINUTES) * 60)) -timeout 0 -v

# Simulates whole daemons in virtual time, with consecutive seeds, for MINUTES of
# real time.
soak-virtual:
	go test ./standin/runs -run TestSoak -soak-seed $(SEED) -soak-minutes $(MINUTES) -parallel $(TOGETHER) -timeout 0 -v

# Regenerates every table of the design notes from fixed seeds.
experiment:
	go run ./standin/experiment
