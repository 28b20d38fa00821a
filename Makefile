VENV ?= .venv
BIN = $(VENV)/bin
PYTEST = $(BIN)/python -m pytest
RAN = found/tests-ran.txt
# Tests at once: one for two cores, since many start processes of their own, and eight at most.
WORKERS ?= $(shell n=$$(( $$(nproc) / 2 )); echo $$(( n < 1 ? 1 : n > 8 ? 8 : n )))

.PHONY: setup demo lint test test-together test-alone check

setup: $(BIN)/ruff

$(BIN)/ruff: pyproject.toml requirements.txt constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(BIN)/ruff

demo: setup
	$(BIN)/tulipnotch lab run demo --time real --out found/demo

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports

# The tests marked `alone` follow when all others have ended; their call fails if a test ran in neither.
test: setup
	@failed=0; \
	$(MAKE) --no-print-directory test-together || failed=1; \
	$(MAKE) --no-print-directory test-alone || failed=1; \
	exit $$failed

test-together: setup
	$(PYTEST) -n $(WORKERS) --dist loadgroup -m "not alone" --ran-to=$(RAN)

test-alone: setup
	$(PYTEST) -m alone --ran-before=$(RAN)

# As `test`, with the linters beside the first call.
check: setup
	@failed=0; \
	$(MAKE) --no-print-directory --jobs=2 --keep-going --output-sync=target lint test-together || failed=1; \
	$(MAKE) --no-print-directory test-alone || failed=1; \
	exit $$failed
