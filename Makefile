VENV := .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: setup test lint demo capacity bench faults soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/black --check --quiet src testing bench demo deploy
	$(BIN)/ruff check --quiet src testing bench demo deploy

demo: setup
	$(BIN)/python demo/run_demo.py

capacity: setup
	$(BIN)/python bench/capacity.py

bench: setup
	$(BIN)/python bench/path.py

faults: setup
	$(BIN)/python bench/faults.py

SEEDS ?= 1 2
soak: setup
	$(BIN)/python -m bench.soak --seeds $(SEEDS)
