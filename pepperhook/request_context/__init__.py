"""Propagation of deadlines, retries and priority through tiers of balancers; loop detection.

A balancer adds a request's context to each attempt, and a result to each response. A context can
only restrict what the receiving tier does; it never allows more than that tier's own policy.
"""
