GO ?= go
PACKAGES = ./... ./lab/...

.PHONY: test build vet format lint unit
test: build vet format lint unit

build:
	$(GO) build $(PACKAGES)

vet:
	$(GO) vet $(PACKAGES)

format:
	@out=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

lint:
	cd lab && $(GO) tool staticcheck tarragongw/... tarragongw/lab/...

# SYSTEM are the packages whose tests run whole systems by the clock. Beside the
# processor-bound tests of other packages their leases and timeouts pass unheard, and
# a test fails for want of a core; so they run afterwards, one package at a time.
SYSTEM = ./caller ./cmd/tarragonctl ./cmd/tarragongw ./dev ./examples/embed ./gateway ./peer ./target

# unit runs all tests but those that KNOWN-RED.txt lists, which it prints.
unit: unit-packages unit-system

.PHONY: unit-packages unit-system
unit-packages:
	GO="$(GO)" .ci/unit -race -count=1 -timeout 15m \
		$$($(GO) list $(PACKAGES) | grep -vxF "$$($(GO) list $(SYSTEM))")

unit-system:
	GO="$(GO)" .ci/unit -race -count=1 -timeout 15m -p 1 $(SYSTEM)

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
