VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PY := $(BIN)/python

.PHONY: test demo format lint check bench capacity gen soak

test: $(VENV)/.ready lint
	$(PY) -m pytest -n 4 --dist loadfile -m "not crowd" $(PYTEST_ARGS)
	$(PY) -m pytest -m crowd $(PYTEST_ARGS)

demo: $(VENV)/.ready
	$(PY) -m demo.kettlewell $(if $(KEEP),--keep,)

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(VENV)/.ready
	$(PY) -m bench

capacity: $(VENV)/.ready
	$(PY) -m bench.capacity

gen:
	thrift --gen py:slots,package_prefix=toucanspool.wire.gen. -out toucanspool/wire/gen toucanspool/wire/wire.thrift

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

soak: $(VENV)/.ready
	$(PY) -m soak --seed=$(or $(SEED),1) --runs=$(or $(RUNS),1)
