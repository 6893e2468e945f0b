"""Imports the steps that start the whole path."""

import path_steps  # noqa: F401
