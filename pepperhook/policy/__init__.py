"""The load balancing policy, one pipeline stage or shared component per module; see docs/design.md.

A request passes the stages completion, priority, admission, retry_budget, selection and guard in this order;
the outcome of an attempt passes them in reverse. ``pepperhook.balancer`` links the stages, and
``pepperhook.policy_interface`` defines the entry points that the host calls.
"""
