VENV ?= .venv
BIN = $(VENV)/bin
PYTHON ?= python3

.PHONY: install test check golden demo up bench rolling capacity clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

install: $(VENV)/.installed

test: install
	$(BIN)/pytest -n 4 --dist worksteal -rx

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

golden: install
	$(BIN)/python -m lavendershift.tools.golden

demo: install
	PATH="$(abspath $(BIN)):$$PATH" bash scripts/demo.sh

up: install
	PATH="$(abspath $(BIN)):$$PATH" bash scripts/up.sh

bench: install
	PATH="$(abspath $(BIN)):$$PATH" bash scripts/bench.sh

rolling: install
	PATH="$(abspath $(BIN)):$$PATH" bash scripts/rolling.sh

capacity: install
	$(BIN)/python -m lavendershift.tools.capacity

clean:
	rm -rf $(VENV) build run
