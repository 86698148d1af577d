"""The command line ``pepperhook``; each module has the commands of one group.

Exit codes are in ``output.ExitCode``. All of these modules are loaded at the start of any command,
so they import large packages, such as the lab, only in the functions that use them.
"""

from pepperhook.cli.main import main

__all__ = ["main"]
