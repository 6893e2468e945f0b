"""Takes over the steps that begin a story on the whole path."""

import path_steps  # noqa: F401
