"""The balancer process: network I/O, and the execution of the policy's actions."""
