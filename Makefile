# Targets: venv, test, check, unit, demo, faults, soak, bench, format, clean.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages/*/src standins/src platform/primroseferry_fleet platform/tests/fleet_soak deploy
CHECKED := packages standins tests benchmarks demo faults platform deploy
LIBRARIES := $(wildcard packages/*) standins

.PHONY: venv test check unit soak soak-fixed demo faults faults-fixed bench policy-bench once-bench capacity format clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(addsuffix /pyproject.toml,$(LIBRARIES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(addprefix --editable ./,$(LIBRARIES))
	touch $@

check: venv
	$(BIN)/black --quiet --check $(CHECKED)
	$(BIN)/ruff check --quiet $(CHECKED)
	$(BIN)/mypy $(SOURCES) benchmarks demo faults

unit: venv
	$(BIN)/pytest

test: check faults-fixed soak-fixed unit

# The part of the fault matrix that CI runs.
faults-fixed: venv
	$(BIN)/python -m faults --fixed

# The part of the soak that CI runs.
soak-fixed: venv
	cd platform/tests && $(CURDIR)/$(BIN)/python -m fleet_soak --seeds 1 --first-seed 7 --seconds 6
	cd platform/tests && $(CURDIR)/$(BIN)/python -m fleet_soak.stops --seeds 1 --first-seed 101 --seconds 8

# Fresh seeds; SEEDS says how many.
SEEDS := 4
soak: venv
	cd platform/tests && $(CURDIR)/$(BIN)/python -m fleet_soak --seeds $(SEEDS) --jobs 3
	cd platform/tests && $(CURDIR)/$(BIN)/python -m fleet_soak.stops --seeds $(SEEDS) --jobs 3

demo: venv
	$(BIN)/python demo/run.py

faults: venv
	$(BIN)/python -m faults

policy-bench: venv
	$(BIN)/python benchmarks/policy.py

once-bench: venv
	$(BIN)/python benchmarks/once_ways.py

capacity: venv
	$(BIN)/python benchmarks/capacity.py

bench: venv
	$(BIN)/python benchmarks/data_path.py

format: venv
	$(BIN)/black --quiet $(CHECKED)
	$(BIN)/ruff check --quiet --fix --unsafe-fixes $(CHECKED)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis

# Writes the committed messages and stubs anew; needs grpcio-tools, which nothing else does.
.PHONY: proto
proto: venv
	$(BIN)/pip install --quiet --disable-pip-version-check grpcio-tools==1.85.1
	cd packages/primroseferry-peers/src && PATH=$(CURDIR)/$(BIN):$$PATH python -m grpc_tools.protoc \
		-I. --python_out=. --pyi_out=. --grpclib_python_out=. primroseferry_peers/proto/peer.proto

# Writes the reference pages anew from the code.
.PHONY: reference
reference: venv
	for page in events errors settings; do \
		$(BIN)/python -c "from primroseferry_cli import reference; print(reference.$${page}_page(), end='')" \
			> docs/$$(echo $$page | tr a-z A-Z).md; \
	done
