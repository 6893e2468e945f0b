"""Addresses as settings and folders write them."""


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of ``IP:port``; version 6 stands in brackets."""
    ip, _, port = address.rpartition(":")
    return ip.removeprefix("[").removesuffix("]"), int(port or 0)
