# The two commands of the README: "make run" and "make test".
PYTHON := .venv/bin/python
SOURCES := beryltrack beryltrack_standins beryltrack_bench tests

.PHONY: run test lint format bench

.venv/ready: requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

run: .venv/ready
	$(PYTHON) -m beryltrack.daemon local $(if $(ONCE),--once)

lint: .venv/ready
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check $(SOURCES)

# Tests of one file share a worker; each worker has ports of its own.
test: lint
	$(PYTHON) -m pytest -n 4 --dist loadfile

format: .venv/ready
	$(PYTHON) -m ruff format $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)

bench: .venv/ready
	$(PYTHON) -m beryltrack_bench all
