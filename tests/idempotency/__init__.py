"""Tests of the idempotency-key store and of its journal, peers and extension."""
