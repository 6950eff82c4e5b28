# Development commands. Each one makes the virtual environment that it needs.
VENV := .venv
PY := $(VENV)/bin/python
ARGS ?=

.PHONY: run test lint docs bench-memory bench-relay bench-settings bench-policy bench-start bench-decision bench-coordination bench-limits bench-tables slopes explore capacity compare soak

$(VENV)/.ready: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -c constraints.txt -e '.[dev]'
	touch $@

run: $(VENV)/.ready
	$(PY) -m reachlink.testing.fleet $(ARGS)

test: $(VENV)/.ready
	$(PY) -m pytest $(ARGS)

lint: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

docs: $(VENV)/.ready
	$(VENV)/bin/sphinx-build -W -q -b html docs docs/_build

bench-relay bench-settings bench-policy bench-memory bench-quarantine bench-start bench-decision bench-coordination bench-limits bench-tables slopes: $(VENV)/.ready
	$(PY) -m benchmarks.$(subst -,_,$@) $(ARGS)

capacity: $(VENV)/.ready
	$(PY) -m benchmarks.capacity_page $(ARGS)
	$(PY) -m benchmarks.settings_page $(ARGS)

explore: $(VENV)/.ready
	REACHLINK_SCHEDULES=50000 $(PY) -m pytest reachlink/agreement $(ARGS)

compare: $(VENV)/.ready
	PYTHONPATH=platform $(PY) -m reachlink_platform._comparison $(ARGS)

soak: $(VENV)/.ready
	$(PY) -m reachlink.testing.soak $(ARGS)
