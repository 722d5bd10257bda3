"""Fakes of the users' platform, by its published protocol, and tests against them."""
