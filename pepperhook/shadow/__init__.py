"""Compares candidate settings with the live ones, and counts the decisions that would differ.

A call is one invocation of the policy: a new request, the end of an attempt, an endpoint list or a
wake-up. ``twin`` repeats a call on a copy of the policy that has the candidate settings,
``comparison`` classifies the differences between the resulting actions, and ``extension`` samples
the calls and counts the differences by kind.
"""
