"""Propagation of deadlines, retries and priority through tiers of balancers; loop detection.

A balancer adds a request's context to each attempt, and a result to each response. A context can
shorten the deadline, forbid retries or end the request, but it never allows a later deadline or
more retries than the tier's own policy. It can also set the priority weight, if the table of
request contexts in the operator's file has ``worth`` on.

Terms: A tier is the balancers of one service. Their upstreams are nodes, which may call the next
tier below. The entry is the balancer at which a request comes in from outside. A hop is a balancer
that a request has passed, named by a keyed hash. A path, such as ``0.1.a``, identifies one call.
"""
