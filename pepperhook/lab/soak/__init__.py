"""Soak test: each seed runs a fleet under overlapping faults and audits the result."""
