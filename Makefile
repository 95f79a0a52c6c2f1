# Entry points: `make demo`, `make test`. Both install the packages and build.
.PHONY: packages build test demo lint format fuzz bench sanitized clean platform bench-days

JOBS ?= 8

packages:
	./.ci/packages

build: packages
	cmake -S . -B build -G Ninja
	cmake --build build -j $(JOBS)

sanitized: packages
	cmake -S . -B build-san -G Ninja -DCMAKE_BUILD_TYPE=Sanitized -DCHIVEFOLD_SANITIZE=ON
	cmake --build build-san -j $(JOBS)

test: build sanitized
	./.ci/test

demo: build
	./tests/e2e/demo

# Builds the sidecar as deploy/system.toml does.
platform: packages
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# Plays the standard days of a site on the operator's bench.
bench-days:
	@test -x "$(BENCH)" || { echo "make bench-days: BENCH must name the bench's program" >&2; exit 2; }
	@test -f "$(SITE)" || { echo "make bench-days: SITE must name a site file" >&2; exit 2; }
	$(BENCH) score $(SITE) --why "$(WHY)"

bench: build
	./benchmark/run

format:
	./.ci/format --fix

lint: build
	./.ci/format
	./.ci/tidy

# A long run with a new seed, which each program prints for a repeat with
# `make fuzz SEED=N`.
SEED ?= $(shell date +%s)
fuzz: build
	RC_PARAMS="seed=$(SEED) max_success=100000" ./build/fuzz/fuzz_at_most_once
	RC_PARAMS="seed=$(SEED) max_success=20000" ./build/fuzz/fuzz_promises
