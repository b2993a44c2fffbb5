VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python
TEST_WORKERS = 3

.PHONY: venv test lint format demo demo-up bench capacity mutants soak clean

venv: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: venv
	$(RUN) -m pytest tests -n $(TEST_WORKERS) --dist loadgroup

lint: venv
	$(RUN) -m ruff format --check .
	$(RUN) -m ruff check .

format: venv
	$(RUN) -m ruff format .
	$(RUN) -m ruff check --fix .

demo: venv
	$(RUN) -m demo

demo-up: venv
	$(RUN) -m demo --keep

bench: venv
	$(RUN) -m bench

capacity: venv
	$(RUN) -m bench.capacity

mutants: venv
	$(RUN) -m bench.mutants

soak: venv
	$(RUN) -m soak --count 10 --jobs 2 --faults 14

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
