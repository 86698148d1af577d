# Targets create .venv if they need it; nothing is installed outside of it.
.PHONY: demo lint test set-up clean

demo: set-up
	.venv/bin/pepperhook demo

# pyproject.toml lists the files that are exempt from some rules; no file may be added.
lint: set-up
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

test: set-up
	.venv/bin/pytest -q tests
	.ci/scenarios
	.ci/soak

set-up: .venv/.set-up

.venv/.set-up: requirements.txt requirements-lab.txt pyproject.toml
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements-lab.txt
	.venv/bin/pip -q install --disable-pip-version-check --no-deps -e .
	touch $@

clean:
	rm -rf .venv found
