"""Idempotency keys: repeats of a request receive the result of the first request.

The decisions are made without I/O: ``entries``, ``capacity``, ``waiters``, ``recovered`` and
``store`` manage the keys of one balancer, and ``ownership`` determines which balancer owns a key.
``journal`` makes the keys durable, ``peers`` connects the balancers, and ``extension`` implements
the balancer's hook points.
"""
