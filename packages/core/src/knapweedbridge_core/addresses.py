"""Addresses in the form used by settings and configurations."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and port of ``IP:port``; IPv6 addresses are in brackets."""
    ip, _, port = address.rpartition(":")
    return ip.removeprefix("[").removesuffix("]"), int(port or 0)
