VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format goldens

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: setup
	$(PYTHON) -m monsoonpulley demo

test: setup
	$(PYTHON) -m testing

lint: setup
	$(VENV)/bin/ruff format --check src testing benchmarks
	$(VENV)/bin/ruff check src testing benchmarks

format: setup
	$(VENV)/bin/ruff format src testing benchmarks
	$(VENV)/bin/ruff check --fix src testing benchmarks

goldens: setup
	$(PYTHON) -m testing.goldens --write
