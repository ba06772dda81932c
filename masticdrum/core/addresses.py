"""Checks of network addresses, which must have an IP address as host."""

import re
from ipaddress import AddressValueError, IPv4Address, ip_address
from urllib.parse import urlsplit

HIGHEST_PORT = 65535
PORT = re.compile(r"[0-9]{1,5}")


def is_socket_address(text: str) -> bool:
    """Return whether ``text`` is ``IP:PORT``, with an IPv6 address in brackets."""
    return is_address(f"tcp://{text}", "tcp")


def is_ipv4_socket_address(text: str) -> bool:
    """Return whether ``text`` is ``IP:PORT`` with an IPv4 address and nothing more."""
    host, _, port = text.rpartition(":")
    return PORT.fullmatch(port) is not None and is_ipv4_target(host, int(port))


def is_ipv4_target(host: str, port: int) -> bool:
    """Return whether a connection to a host and port needs no look-up of a name."""
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return 0 < port <= HIGHEST_PORT


def is_address(text: str, scheme: str) -> bool:
    """Return whether ``text`` is ``SCHEME://IP:PORT`` and nothing more.

    For example ``tcp://127.0.0.1:7101`` is one and ``tcp://localhost:7101`` is not,
    since processes connect by IP address.
    """
    try:
        parts = urlsplit(text)
        host, port = parts.hostname, parts.port
    except ValueError:
        return False
    if parts.scheme != scheme or host is None or port is None:
        return False
    if parts.path or parts.query or parts.fragment or parts.username is not None:
        return False
    return is_ip(host) and 0 < port <= HIGHEST_PORT


def is_ip(text: str) -> bool:
    """Return whether ``text`` is an IP address."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
