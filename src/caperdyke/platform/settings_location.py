"""Location of the settings file on the platform."""

import os

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "CAPERDYKE_NODE_FILE"


def find_settings() -> str | None:
    """Returns the path of the settings file, or None if the platform does not set one."""
    return os.environ.get(SETTINGS_VARIABLE)
