"""Tests of the load balancing policy."""
