PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
CHECKED := packages platform
KNOWN_RED := $(shell test ! -f KNOWN-RED.txt || sed -n 's/^test: */--deselect=/p' KNOWN-RED.txt)

.PHONY: setup format lint types unit test demo serve generate soak mutants measure clean

setup: $(READY)

$(READY): requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check setuptools==84.2.1 pbr==7.0.3
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation -r requirements-dev.txt
	touch $(READY)

format: $(READY)
	$(BIN)/ruff check --quiet --select I --fix $(CHECKED)
	$(BIN)/ruff format --quiet $(CHECKED)

lint: $(READY)
	$(BIN)/ruff format --check --quiet $(CHECKED)
	$(BIN)/ruff check --quiet $(CHECKED)
	$(BIN)/flake8 $(CHECKED)

types: $(READY)
	$(BIN)/mypy $(wildcard packages/*/src) platform/src

unit: $(READY)
	$(BIN)/python -m pytest $(KNOWN_RED)
	$(BIN)/python -m pytest -c platform/pyproject.toml platform/tests $(KNOWN_RED)

test: lint types unit

demo: $(READY)
	$(BIN)/cowslipfork-lab demo

serve: $(READY)
	$(BIN)/cowslipfork-lab serve

mutants: $(READY)
	PYTEST_ADDOPTS="$(KNOWN_RED)" $(BIN)/cowslipfork-lab mutants

SEED ?= 1
SEEDS ?= 10
SECONDS ?= 20
OPTIONS ?=
SOAK_PATH := platform/tests/soak:platform/tests/fakes:packages/cowslipfork/tests/fakes:packages/cowslipfork-direct/tests/fakes

soak: $(READY)
	PYTHONPATH=$(SOAK_PATH) $(BIN)/python -m soaking $(SEED) $(SEEDS) $(SECONDS) $(OPTIONS)
	PROMISES=60 PROMISES_FROM=$(SEED) $(BIN)/python -m pytest packages/cowslipfork-direct/tests/test_promises.py
	COWSLIPFORK_SOAK=120 COWSLIPFORK_SEED=$(SEED) $(BIN)/python -m pytest -s packages/cowslipfork/tests/groups/test_promises.py
	SOAK=20 $(BIN)/python -m pytest --hypothesis-seed=$(SEED) packages/cowslipfork/tests/configuration/test_accept_machine.py

generate: $(READY)
	cd packages/cowslipfork/src && PATH=$(abspath $(BIN)):$$PATH python -m grpc_tools.protoc -I . \
	  --python_out=. --grpc_python_out=. --mypy_out=. cowslipfork/wire/*.proto

clean:
	rm -rf $(VENV) run
