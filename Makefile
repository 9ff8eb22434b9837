VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SEED ?= 1
SOAK ?= 200
SECONDS ?= 60

.PHONY: demo test lint format bench bench-routing bench-membership bench-relay bench-forwarding bench-delay bench-logging bench-stalls soak chaos dist fuzz fuzz-known-faults

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python scripts/demo.py

test: $(VENV)/.installed
	$(BIN)/python scripts/run_tests.py

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet sassafrashook fakes scripts benchmarks examples
	$(BIN)/ruff check --quiet sassafrashook fakes scripts benchmarks examples

format: $(VENV)/.installed
	$(BIN)/black --quiet sassafrashook fakes scripts benchmarks examples
	$(BIN)/ruff check --fix --quiet sassafrashook fakes scripts benchmarks examples

dist: $(VENV)/.installed
	$(BIN)/python scripts/build_dist.py
	$(BIN)/python scripts/check_dist.py

bench-routing: $(VENV)/.installed
	$(BIN)/python -m benchmarks.routing

chaos: $(VENV)/.installed
	$(BIN)/python scripts/chaos.py $(SEED)

soak: $(VENV)/.installed
	SOAK=$(SOAK) $(BIN)/python scripts/run_tests.py

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks.slopes

bench-membership: $(VENV)/.installed
	$(BIN)/python -m benchmarks.membership

bench-relay: $(VENV)/.installed
	$(BIN)/python -m benchmarks.relay

bench-forwarding: $(VENV)/.installed
	$(BIN)/python -m benchmarks.forwarding

bench-delay: $(VENV)/.installed
	$(BIN)/python -m benchmarks.event_delay

bench-logging: $(VENV)/.installed
	$(BIN)/python -m benchmarks.logging_cost

bench-stalls: $(VENV)/.installed
	$(BIN)/python -m benchmarks.stalls

fuzz: $(VENV)/.installed
	$(BIN)/python -m sassafrashook.fuzzing search --seed=$(SEED) --seconds=$(SECONDS)

fuzz-known-faults: $(VENV)/.installed
	$(BIN)/python -m sassafrashook.fuzzing find-known-faults --seed=$(SEED)
