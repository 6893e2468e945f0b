"""A daemon that serves by a platform's dialect, straight to the endpoints."""

__all__: list[str] = []
