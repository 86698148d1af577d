"""The project's test laboratory, on loopback.

It has stand-ins for clients, upstreams, networks and discovery services, a load generator, injected
faults, an auditor, experiments and reports. The balancer imports nothing from it. Figures measured
with it describe stand-ins on one machine.
"""
