"""The load balancing policy, one pipeline stage or shared component per module; see docs/design.md.

A request passes the stages completion, priority, admission, retry_budget, selection and guard in this order;
the outcome of an attempt passes them in reverse. ``pepperhook.balancer`` links the stages, and
``pepperhook.policy_interface`` defines the entry points that the host calls.

The modules refer to four rules:

1. Each request gets exactly one final response, by its deadline.
2. No request is executed a second time unless that is harmless.
3. Attempts go only to upstreams that are ready in the latest state that this balancer was notified of.
4. All balancers together do not overload an upstream in slow start.
"""
