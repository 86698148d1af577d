"""Soak runs: a fleet a seed, with overlapping faults, restarts, signals and a crowd; audited."""
