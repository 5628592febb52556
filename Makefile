VENV ?= .venv
PYTHON = $(VENV)/bin/python
SEED ?= 1
SECONDS ?= 60
DEPLOYMENT ?= kingston
CODE = packages tests measure

.PHONY: setup serve demo test lint format measure model slopes soak

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-build-isolation --no-deps \
		-e packages/ragworthollow -e packages/ragworthollow-daemon \
		-e packages/ragworthollow-ctl
	touch $@

demo: setup
	$(PYTHON) -m measure.demo

serve: setup
	$(PYTHON) -m measure.serve $(DEPLOYMENT)

lint: setup
	$(VENV)/bin/ruff format --check $(CODE)
	$(VENV)/bin/ruff check $(CODE)
	$(VENV)/bin/flake8 $(CODE)

format: setup
	$(VENV)/bin/ruff check --fix-only --quiet $(CODE)
	$(VENV)/bin/ruff format $(CODE)

test: setup
	$(PYTHON) -m tests.run

measure: setup
	$(PYTHON) -m measure.decisions

model: setup
	$(PYTHON) -m measure.fleet_model days

slopes: setup
	$(PYTHON) -m measure.slopes

soak: setup
	$(PYTHON) -m measure.soak --seed $(SEED) --seconds $(SECONDS)
