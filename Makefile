# Every target makes its environment first, from exact versions.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: env format lint types unit test demo run bench capacity experiment soak

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

env: $(VENV)/.ready

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: env
	$(BIN)/mypy

unit: env
	$(BIN)/python -m pytest

test: lint types unit

demo: env
	$(BIN)/python -m demo.demo

run: env
	$(BIN)/python -m demo.run

bench: env
	$(BIN)/python -m bench.all

capacity: env
	$(BIN)/python -m bench.capacity

experiment: env
	$(BIN)/python -m bench.saturation

SEED ?= 1
EVENTS ?= 1000000
soak: env
	$(BIN)/python -m tests.soak --seed $(SEED) --events $(EVENTS)
