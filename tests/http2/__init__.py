"""Tests of the HTTP/2 server and client, over loopback."""
