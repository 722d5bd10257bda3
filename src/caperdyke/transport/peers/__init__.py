"""Links to other instances."""
