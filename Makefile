VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup demo test lint check bench footprint takeover fuzz slopes dist dist-check clean

$(VENV)/.ready: pyproject.toml
	python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e ".[dev]"
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(VENV)/bin/lagoonpulley demo

lint: setup
	$(VENV)/bin/ruff format --check src tests benchmarks
	$(VENV)/bin/ruff check src tests benchmarks

test: lint
	$(PYTHON) -m pytest

bench: setup
	$(PYTHON) -m benchmarks.decisions

footprint: setup
	$(PYTHON) -m benchmarks.footprint --follower

takeover: setup
	$(PYTHON) -m benchmarks.takeover

fuzz: setup
	$(PYTHON) -m benchmarks.fuzz
	$(PYTHON) -m benchmarks.step_fuzz

slopes: setup
	$(PYTHON) -m benchmarks.slopes

dist: setup
	mkdir -p dist
	$(VENV)/bin/pex . -c lagoonpulley -o dist/lagoonpulley --venv prepend

dist-check: dist
	$(PYTHON) -m benchmarks.dist_check dist/lagoonpulley

clean:
	rm -rf $(VENV) dist build
