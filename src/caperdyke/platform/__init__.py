"""Translates between the users' platform and the project's types; contains no decisions."""
