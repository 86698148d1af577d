"""Captures: records of a policy's calls and states, and their replay."""
