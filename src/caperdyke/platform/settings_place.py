"""Where the platform puts the settings of a process."""

import os

# Variable that holds the path of the settings file.
VARIABLE = "CAPERDYKE_NODE_FILE"


def find_settings() -> str | None:
    """Returns the path of the settings file, or None where the platform names none."""
    return os.environ.get(VARIABLE)
