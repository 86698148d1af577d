#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. 0: the rule held, 1: broken, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/stand_ins_2 exec .venv/bin/python -B review/10/case.py
