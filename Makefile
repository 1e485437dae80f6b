# Another interpreter that has the pinned packages: make PYTHON=... test
ifndef PYTHON
PYTHON = .venv/bin/python
VENV = .venv/ready
endif
PATHS = src tests examples
export PYTHONPATH := $(CURDIR)/src

.PHONY: venv run serve measure test lint format

venv: .venv/ready

.venv/ready: requirements-dev.txt requirements.txt pyproject.toml
	python3.11 -m venv .venv
	.venv/bin/python -m pip install --quiet -r requirements-dev.txt
	.venv/bin/python -m pip install --quiet --no-deps -e .
	touch .venv/ready

run: $(VENV)
	$(PYTHON) -m camphorlink.cli.dev

# The same, and stays up for callers until it is interrupted.
serve: $(VENV)
	$(PYTHON) -m camphorlink.cli.dev --serve

# Response time, starts a second and memory, against the stated targets.
measure: $(VENV)
	$(PYTHON) -m camphorlink.bench.load

test: $(VENV)
	$(PYTHON) -m pytest -n 4 --dist loadfile

.PHONY: experiment
experiment: $(VENV)
	$(PYTHON) -m camphorlink.bench.experiment

lint: $(VENV)
	$(PYTHON) -m ruff format --check $(PATHS)
	$(PYTHON) -m ruff check $(PATHS)
	$(PYTHON) -m flake8 $(PATHS)
	$(PYTHON) -m mypy

format: $(VENV)
	$(PYTHON) -m ruff format $(PATHS)
	$(PYTHON) -m ruff check --fix $(PATHS)

.PHONY: slopes
slopes: $(VENV)
	$(PYTHON) -m camphorlink.bench.slopes

.PHONY: capacity
capacity: $(VENV)
	$(PYTHON) -m camphorlink.bench.capacity

# Every state of the small specifications, and their mutations.
.PHONY: check-model check-model-large
check-model: $(VENV)
	$(PYTHON) -m camphorlink.spec.programs check

check-model-large: $(VENV)
	$(PYTHON) -m camphorlink.spec.programs check --large

# Writes the counterexamples of all mutations anew.
.PHONY: counterexamples
counterexamples: $(VENV)
	$(PYTHON) -m camphorlink.spec.programs write docs/design/proof.md

.PHONY: measure-broadcast
measure-broadcast: $(VENV)
	$(PYTHON) -m camphorlink.bench.broadcast

.PHONY: measure-submissions
measure-submissions: $(VENV)
	$(PYTHON) -m camphorlink.bench.submission_costs

# Time of a placement among many waiting tasks.
.PHONY: measure-starts
measure-starts: $(VENV)
	$(PYTHON) -m camphorlink.bench.start_costs

# Writes the traces of the brief's incidents anew.
.PHONY: traces
traces: $(VENV)
	PYTHONPATH=$(CURDIR)/src:$(CURDIR)/tests $(PYTHON) tests/traces.py traces

.PHONY: measure-control
measure-control: $(VENV)
	$(PYTHON) -m camphorlink.bench.control

# Needs the packages of requirements-plots.txt besides.
.PHONY: plots
plots: $(VENV)
	$(PYTHON) -m camphorlink.bench.plots

# Core time, bytes and memory of durable and transient jobs.
.PHONY: job-slopes
job-slopes: $(VENV)
	$(PYTHON) -m camphorlink.bench.job_slopes

# Processor time, modules and memory of the start of a node.
.PHONY: measure-start
measure-start: $(VENV)
	$(PYTHON) -m camphorlink.bench.start_times
