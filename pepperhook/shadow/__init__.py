"""Compares candidate settings with the live ones, and counts the decisions that would differ.

``twin`` decides a call a second time, ``comparison`` classifies the differences, and ``extension``
samples the calls and counts the differences by kind.
"""
