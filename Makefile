PY := .venv/bin/python
STAMP := .venv/.ready

.PHONY: setup demo test check drills soak measure measure-path measure-sharing measure-processes capacity clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

test: setup
	$(PY) -m pytest

check: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m flake8 citronrail standins measure drills soak demo
	$(PY) -m mypy

demo: setup
	$(PY) -m demo

drills: setup
	$(PY) -m drills $(if $(SEED),--seed $(SEED)) $(if $(POINT),--point $(POINT))

soak: setup
	$(PY) -m soak $(if $(SEED),--seed $(SEED)) $(if $(SEEDS),--seeds $(SEEDS))

measure: setup
	$(PY) -m measure.policies

measure-sharing: setup
	$(PY) -m measure.sharing

measure-path: setup
	$(PY) -m measure.path

measure-processes: setup
	$(PY) -m measure.processes

capacity: setup
	$(PY) -m measure.capacity

clean:
	rm -rf build .venv
