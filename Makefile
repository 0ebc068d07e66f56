GO ?= go
PACKAGES = ./... ./lab/...

.PHONY: test build vet format lint unit
test: build vet format lint unit

build:
	$(GO) build $(PACKAGES)

# The sequence of leasewrite is in assembly, for each processor of its own.
vet:
	$(GO) vet $(PACKAGES)
	CGO_ENABLED=0 GOARCH=arm64 $(GO) vet ./leasewrite/...

format:
	@out=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

lint:
	cd lab && $(GO) tool staticcheck tarragongw/... tarragongw/lab/...

# SYSTEM are the packages whose tests run whole systems by the clock. Beside the
# processor-bound tests of other packages their leases and timeouts pass unheard, and
# a test fails for want of a core; so they run afterwards, one package at a time.
SYSTEM = ./caller ./cmd/tarragonctl ./cmd/tarragongw ./dev ./examples/embed ./gateway ./peer ./target

# unit runs all tests but those that KNOWN-RED.txt lists, which it prints.
unit: unit-packages unit-system unit-builds

.PHONY: unit-packages unit-system unit-builds
unit-packages:
	GO="$(GO)" .ci/unit -race -count=1 -timeout 25m \
		$$($(GO) list $(PACKAGES) | grep -vxF "$$($(GO) list $(SYSTEM))")

unit-system:
	GO="$(GO)" .ci/unit -race -count=1 -timeout 25m -p 1 $(SYSTEM)

# unit-builds repeats the tests of suspended processes in the other kinds of build: without
# the race detector, and without cgo, where a write under a lease is protected by other means.
unit-builds:
	$(MAKE) unit-build CGO_ENABLED=1
	$(MAKE) unit-build CGO_ENABLED=0

.PHONY: unit-build
unit-build: export CGO_ENABLED := $(CGO_ENABLED)
unit-build:
	GO="$(GO)" .ci/unit -count=1 -timeout 15m ./leasewrite/...
	GO="$(GO)" .ci/unit -count=1 -timeout 15m -p 1 -run 'Suspended|Paused' ./platform ./target ./cmd/tarragongw

# generate rebuilds the committed protobuf code, which needs protoc, and the pages
# and files that come from the code's own definitions.
.PHONY: generate
generate: pages
	cd lab && $(GO) build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go
	for f in $$(git ls-files -co --exclude-standard '*.proto'); do \
		PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative $$f || exit 1; \
	done

.PHONY: pages
pages:
	$(GO) run ./lab/gen errors
	$(GO) test ./config -count=1 -run Generated -update

# measure prints the table of measurements, and the tables of docs/CAPACITY.md;
# PARTS="path memory" runs these parts of the first only.
.PHONY: measure
PARTS ?=
measure:
	$(GO) run ./lab/measure $(PARTS)
	$(if $(PARTS),,$(GO) run ./lab/capacity)

# soak repeats the tests of failures ROUNDS times, each in a new order.
.PHONY: soak
ROUNDS ?= 10
SOAKED ?= ./dev ./router ./peer/... ./target/... ./kv/... ./core/...
soak:
	$(GO) test -race -count=$(ROUNDS) -shuffle=on -timeout 60m $(SOAKED)

# soak-leaving runs real router processes that are stopped again and again while targets leave or rest and data centres are
# evacuated, with SEEDS seeds.
.PHONY: soak-leaving
SEEDS ?= 50
soak-leaving:
	$(GO) test ./cmd/tarragongw -run "TestLeavingTargets|TestEvacuatedTargets|TestStatementsOfTargets" -count=1 -timeout 120m -v -leaving.seeds=$(SEEDS)

# soak-config runs real router processes whose connections are disturbed one by one while the configuration changes, with SEEDS
# seeds.
.PHONY: soak-config
soak-config:
	$(GO) test ./cmd/tarragongw -run TestChangesAreInForceInTimeBesideDisturbedConnections -count=1 -timeout 120m -v -config.seeds=$(SEEDS)

# soak-timeouts runs real router processes on one core beside targets whose answers don't end and planned stops in series, each
# ROUNDS times.
.PHONY: soak-timeouts
soak-timeouts:
	$(GO) test ./cmd/tarragongw -run "TestRequestsEndSoon|TestEndlessAnswers|TestPlannedStopCutsNothingOff" -count=1 -timeout 120m -v \
		-timeout.rounds=$(ROUNDS) -endless.for=60s -stop.rounds=$(ROUNDS) -stop.cores=1

# fuzz runs each fuzz target for FUZZTIME on FUZZERS workers.
.PHONY: fuzz
FUZZTIME ?= 10s
FUZZERS ?= 4
fuzz:
	GO="$(GO)" .ci/fuzz $(FUZZTIME) $(FUZZERS)

# stats prints the shares of tests and of the parts that decide.
.PHONY: stats
stats:
	$(GO) run ./lab/stats
