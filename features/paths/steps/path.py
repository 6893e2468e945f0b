"""Import the steps that start a scenario on the whole path."""

import path_steps  # noqa: F401
