# What a fresh machine needs is made by the first target that wants it; nothing is installed outside .venv.
.PHONY: demo lint test set-up clean

demo: set-up
	.venv/bin/pepperhook demo

# The list of files that a rule is switched off for stands in pyproject.toml, and only shrinks.
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
