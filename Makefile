VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup demo test lint check

setup: $(BIN)/ruff

$(BIN)/ruff: pyproject.toml requirements.txt constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(BIN)/ruff

demo: setup
	$(BIN)/tulipnotch lab run demo --time real --out found/demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports

check: lint test
