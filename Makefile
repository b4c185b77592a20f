# Every target sets up what it needs in .venv; nothing else is touched.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test demo bench bench-slopes matrix binary lint format clean

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(READY)

test: $(READY)
	$(BIN)/python -m pytest

demo: $(READY)
	$(BIN)/python -m demo

bench: $(READY)
	$(BIN)/python -m benchmarks

bench-slopes: $(READY)
	$(BIN)/python -m benchmarks slopes

matrix: $(READY)
	$(BIN)/python -m tests.matrix

binary: $(READY)
	$(BIN)/python tools/build_binary.py dist/carobslip

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src platform
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build dist
