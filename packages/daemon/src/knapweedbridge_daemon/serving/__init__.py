"""Daemon that uses a platform's own protocols and sends calls directly to endpoints."""

__all__: list[str] = []
