"""Records, reads, merges and exports traces of requests with the reasons for each decision."""
