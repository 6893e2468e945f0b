"""The operators' command of knapweedbridge."""

from knapweedbridge_cli.main import main

__all__ = ["main"]
