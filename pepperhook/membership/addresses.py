"""Addresses of members: IP literals on the wire; only the operator's file may have host names."""

import socket

from pepperhook.membership.messages import Address

MAX_PORT = 65535


def family_of(host: str) -> socket.AddressFamily:
    """Return the address family of an IP literal."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def is_ip_literal(host: str) -> bool:
    """Return whether a host is an IPv4 or IPv6 address, which needs no resolver."""
    try:
        socket.inet_pton(family_of(host), host)
    except (OSError, ValueError):  # ValueError: a NUL, or not ASCII
        return False
    return True


def is_valid_address(address: Address) -> bool:
    """Return whether the host is an IP literal, which needs no resolver, and the port is valid."""
    host, port = address
    return 0 < port <= MAX_PORT and is_ip_literal(host)


def resolve(address: Address) -> Address:
    """Return the address with its host as an IP literal; blocks. Raises OSError, ValueError."""
    host, port = address
    if is_ip_literal(host):
        return address
    first_result = socket.getaddrinfo(host, port, type=socket.SOCK_DGRAM)[0]
    return str(first_result[4][0]), port
