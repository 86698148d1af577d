"""Watching before a switch: where other settings would have decided otherwise, counted by kind."""
