"""Cases of an independent review; they are run by hand, not by CI."""
