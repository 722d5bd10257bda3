"""Passes over the tests in KNOWN-RED.txt, and prints them."""

from testing import known_red


def pytest_collection_modifyitems(config, items) -> None:
    """Leaves listed tests out, and nothing else."""
    listed = {entry.test for entry in known_red.read_list()}
    left_out = [item for item in items if item.nodeid in listed]
    if left_out:
        config.hook.pytest_deselected(items=left_out)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter) -> None:
    """Prints the list."""
    for entry in known_red.read_list():
        terminalreporter.write_line(f"known red: {entry.test}: {entry.seen} (issue {entry.issue})")
