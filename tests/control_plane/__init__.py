"""Tests of the control plane: partial, forged, outdated or harmful versions take no effect."""
