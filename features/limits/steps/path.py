"""Imports the steps that set up the whole path."""

import path_steps  # noqa: F401
