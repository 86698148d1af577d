"""HTTP/2 (RFC 9113) for clients and upstreams, built on the h2 library's protocol state."""
