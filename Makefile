# `make demo` and `make test` install what they need on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/daemon packages/cli packages/standins platform

.PHONY: bench-relay install demo test lint processes

$(VENV)/.installed: requirements.txt packages/*/pyproject.toml platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python -m knapweedbridge_standins.demo

test: install
	$(BIN)/python features/run.py

lint: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy packages/*/src platform/src
	$(BIN)/lint-imports --no-cache

.PHONY: rolling
rolling: install
	$(BIN)/python bench/rolling.py

processes: install
	$(BIN)/python bench/processes.py

# SOAK_S, SOAK_SEED, SOAK_FAULTS and SOAK_KEEP: see bench/soak.py.
soak: install
	$(BIN)/python bench/soak.py

# SOAK_SEEDS, SOAK_S, SOAK_DAEMONS, SOAK_RELEASES and SOAK_PLANT: see bench/soak_serving.py.
.PHONY: soak-serving
soak-serving: install
	$(BIN)/python bench/soak_serving.py

slopes: install
	$(BIN)/python bench/slopes.py

capacity: install
	$(BIN)/python bench/capacity.py

.PHONY: soak slopes capacity

bench-relay: install
	$(BIN)/python bench/relay.py --keep

.PHONY: bench-placement
bench-placement: install
	$(BIN)/python bench/placement.py

# ENGINES and DAEMONS: see bench/engine_choice.py.
.PHONY: bench-choice
bench-choice: install
	$(BIN)/python bench/engine_choice.py

# LOADS, SITES and PLAYED_S: see bench/serving_load.py.
.PHONY: bench-load
bench-load: install
	PYTHONHASHSEED=0 $(BIN)/python bench/serving_load.py

# BENCH, SITE, ENGINES, PLAIN, DAYS, JOBS and BESIDE: see bench/kinds_days.py.
.PHONY: kinds-days
kinds-days: install
	$(BIN)/python bench/kinds_days.py

.PHONY: docs
docs: install
	$(BIN)/python docs/make_settings.py
	$(BIN)/python docs/make_index.py

.PHONY: fuzz mutants
fuzz: install
	$(BIN)/python bench/fuzz.py

mutants: install
	$(BIN)/python bench/mutants.py

.PHONY: administration
administration: install
	$(BIN)/python bench/administration.py

.PHONY: bench-control
bench-control: install
	$(BIN)/python bench/control.py --keep

.PHONY: bench-requests
bench-requests: install
	$(BIN)/python bench/requests.py
