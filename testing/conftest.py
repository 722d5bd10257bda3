"""Deselects the known failing tests in KNOWN-RED.txt and prints the list."""

import gc

import pytest

from testing import known_red


def pytest_collection_modifyitems(config, items) -> None:
    """Deselects exactly the listed tests."""
    listed_tests = {entry.test for entry in known_red.read_list()}
    deselected = [item for item in items if item.nodeid in listed_tests]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed_tests]


@pytest.hookimpl(tryfirst=True)
def pytest_sessionfinish() -> None:
    """Runs the finalizers of the tests before plugins import modules for their summaries."""
    # CPython 3.11 cannot parse while a finalizer reports an error, which parses source lines.
    gc.collect()


def pytest_terminal_summary(terminalreporter) -> None:
    """Prints the known failures with their issues."""
    for entry in known_red.read_list():
        terminalreporter.write_line(
            f"known red: {entry.test}: {entry.symptom} (issue {entry.issue})"
        )
