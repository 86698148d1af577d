"""Rate limits per tenant, so that a burst of one tenant does not affect the others."""
