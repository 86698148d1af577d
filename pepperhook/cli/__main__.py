"""Runs the command line as ``python -m pepperhook.cli``."""

from pepperhook.command_line import main

main()
