PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test lint format bench chaos docs

demo: $(READY)
	$(BIN)/python -m tools.demo

test: lint
	$(BIN)/python -m tests.run

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 mulberryhollow standins tests tools examples

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(READY)
	$(BIN)/python -m tools.bench

chaos: $(READY)
	$(BIN)/python -m tools.chaos --seed $(or $(SEED),1)

docs: $(READY)
	$(BIN)/python -m tools.reference

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(READY)
