"""Addresses of members: IP literals on the wire, names at most in the operator's file."""

import socket

from pepperhook.membership.messages import Address

MAX_PORT = 65535


def family_of(host: str) -> socket.AddressFamily:
    """Return the family of an IP literal."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def is_ip_literal(host: str) -> bool:
    """Return whether a host is an IPv4 or IPv6 address, which needs no resolver."""
    try:
        socket.inet_pton(family_of(host), host)
    except (OSError, ValueError):  # ValueError: a NUL, or not ASCII
        return False
    return True


def is_valid_address(address: Address) -> bool:
    """Return whether a datagram may be sent there without a look at any resolver."""
    host, port = address
    return 0 < port <= MAX_PORT and is_ip_literal(host)


def resolve(address: Address) -> Address:
    """Return an address with a literal in place of a name; blocks. Raises OSError, ValueError."""
    host, port = address
    if is_ip_literal(host):
        return address
    row = socket.getaddrinfo(host, port, type=socket.SOCK_DGRAM)[0]
    return str(row[4][0]), port
