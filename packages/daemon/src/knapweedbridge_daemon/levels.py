"""How much a log line matters."""

from enum import IntEnum


class Level(IntEnum):
    """How much an event matters."""

    DEBUG = 0
    INFO = 1
    ERROR = 2
