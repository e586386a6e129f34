# Targets: venv, test, check, unit, demo, bench, format, clean.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages/*/src standins/src
TESTS := packages/*/tests standins/tests tests
LIBRARIES := $(wildcard packages/*) standins

.PHONY: venv test check unit demo bench format clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(addsuffix /pyproject.toml,$(LIBRARIES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(addprefix --editable ./,$(LIBRARIES))
	touch $@

check: venv
	$(BIN)/black --quiet --check packages standins tests
	$(BIN)/ruff check --quiet packages standins tests
	$(BIN)/mypy $(SOURCES)

unit: venv
	$(BIN)/pytest

test: check unit

format: venv
	$(BIN)/black --quiet packages standins tests
	$(BIN)/ruff check --quiet --fix --unsafe-fixes packages standins tests

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis

# Writes the committed messages and stubs anew; needs grpcio-tools, which nothing else does.
.PHONY: proto
proto: venv
	$(BIN)/pip install --quiet --disable-pip-version-check grpcio-tools==1.85.1
	cd packages/primroseferry-peers/src && PATH=$(CURDIR)/$(BIN):$$PATH python -m grpc_tools.protoc \
		-I. --python_out=. --pyi_out=. --grpclib_python_out=. primroseferry_peers/proto/peer.proto
