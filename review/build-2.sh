#!/bin/sh
# Builds what the scripts of the second review start. The programs of the project are built by the
# command "build" of the deploy file; the stand-ins are plain Python on the standard library.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q pepperhook review/stand_ins_2
