# Modules of the workspace that hold our own code.
PACKAGES = ./... ./standin/...

.PHONY: all build test lint gen docs demo play bench control seeds soak soak-virtual experiment
all: build

# Exactly two shipped binaries.
build:
	go build -o bin/ ./cmd/...

# Tests under the race detector. Tests named in KNOWN-RED.txt are passed over
# and printed.
test:
	bash .ci/test $(PACKAGES)

# Formatter, vet and linter.
lint:
	bash .ci/lint $(PACKAGES)

# Regenerates the committed protobuf code; needs tools/.
gen:
	go tool buf generate

# Writes docs/EVENTS.md and docs/SETTINGS.md from the code.
docs:
	go test ./cmd/carawayd -run Page -update

# The whole path in separate processes on loopback; TARGET is the daemon that
# takes the calls, 1 to 3.
TARGET ?= 1
demo:
	go run ./standin/demo --target=$(TARGET)

# The same system kept running for trying things out; see docs/OPERATIONS.md.
play:
	go run ./standin/demo --hold --target=$(TARGET)

# What a daemon adds to calling an engine directly, as ratios in one run.
bench:
	go run ./standin/bench

# What daemons spend on control while no caller calls.
control:
	go run ./standin/control

# Randomised runs of whole daemons in virtual time, without the race detector,
# TOGETHER at a time.
SEEDS ?= 200
TOGETHER ?= $(shell nproc)
seeds:
	go test ./standin/runs -run TestSeeds -seeds $(SEEDS) -parallel $(TOGETHER) -timeout 90m -v

# Real processes on loopback, broken from outside: COUNT seeds from SEED on,
# each with MINUTES of faults.
SEED ?= 1
COUNT ?= 50
MINUTES ?= 1
soak:
	go test ./standin/soak -run TestSoak -soak-seed $(SEED) -soak-count $(COUNT) -soak-seconds $$(($(MINUTES) * 60)) -timeout 0 -v

# Whole daemons in virtual time, one seed after another for some real minutes.
soak-virtual:
	go test ./standin/runs -run TestSoak -soak-seed $(SEED) -soak-minutes $(MINUTES) -parallel $(TOGETHER) -timeout 0 -v

# Every table of the design notes, from fixed seeds.
experiment:
	go run ./standin/experiment
