# VENV may be set to an existing virtual environment, for example
# that of another work tree.
VENV ?= .venv
SEED ?= 1
MINUTES ?= 3
PACKAGES = model framing records telemetry store peers backend placement admission \
	routing assignment relay hops ownership front daemon cli standins bench
empty :=
space := $(empty) $(empty)
SOURCES = $(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src) \
	$(CURDIR)/platform/src $(CURDIR)/platform/soak/src
export VENV
export PYTHONPATH = $(subst $(space),:,$(SOURCES)):$(CURDIR)/tools
export PYTHONDONTWRITEBYTECODE = 1
PY = $(VENV)/bin/python

.PHONY: env format check test demo bench soak platform-soak clean

env:
	@tools/env.sh

format: env
	$(VENV)/bin/pyink -q packages platform tools

check: env
	$(VENV)/bin/pyink -q --check packages platform tools
	$(PY) tools/check_imports.py
	$(PY) tools/check_wire_names.py
	$(PY) -m pylint --score=n packages platform/src platform/soak \
		platform/tests tools

test: check
	$(PY) tools/run_tests.py

demo: env
	$(PY) -m waxwinglever_bench.main demo

bench: env
	$(PY) -m waxwinglever_bench.main bench --output build/bench.json

soak: env
	$(PY) -m waxwinglever_bench.main soak --seed $(SEED) --minutes $(MINUTES)

platform-soak: env
	$(PY) -m waxwinglever_soak --seed $(SEED) $(if $(PLANNED),--planned) \
		$(if $(LINKS),--links)

clean:
	rm -rf build $(VENV)
