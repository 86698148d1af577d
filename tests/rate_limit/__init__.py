"""Tests of the token buckets and of the rate limit extension."""
