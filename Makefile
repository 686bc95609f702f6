# Two commands matter: `make demo` and `make test`. Each builds .venv by itself.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test format lint types unit bench clean

$(STAMP): pyproject.toml requirements/lock.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements/lock.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/almondstack-bench demo

test: lint types unit

lint: $(STAMP)
	$(BIN)/black --check --quiet almondstack conftest.py
	$(BIN)/ruff check --quiet --no-cache almondstack conftest.py

types: $(STAMP)
	$(BIN)/mypy --no-error-summary --cache-dir=/dev/null

unit: $(STAMP)
	$(BIN)/python -m pytest

format: $(STAMP)
	$(BIN)/black --quiet almondstack conftest.py
	$(BIN)/ruff check --quiet --no-cache --fix almondstack conftest.py

bench: $(STAMP)
	ALMONDSTACK_MACHINE_EXAMPLES=2000 $(BIN)/python -m pytest almondstack/fold/tests/test_machine.py -k no_example
	ALMONDSTACK_MACHINE_EXAMPLES=2000 $(BIN)/python -m pytest almondstack/permits/tests/test_machine.py -k faults
	ALMONDSTACK_MACHINE_EXAMPLES=2000 $(BIN)/python -m pytest almondstack/at_most_once/tests/test_claims.py -k started_at_most_once
	$(BIN)/almondstack-bench bounds

clean:
	rm -rf $(VENV) build *.egg-info
