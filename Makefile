# `make demo` starts the whole path on loopback; `make test` runs every check.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.

.PHONY: demo test build format lint bench clean

$(VENV)/ready: requirements.lock requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m standins.demo

test: $(VENV)/ready
	$(BIN)/python tests/run.py

build: $(VENV)/ready
	$(BIN)/python tools/build.py

format: $(VENV)/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: $(VENV)/ready
	$(BIN)/python -m bench $(or $(NAME),all) --seed $(or $(SEED),1)

clean:
	rm -rf build dist .mypy_cache .ruff_cache
