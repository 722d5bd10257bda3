"""Crowds of callers that do not behave, against the programs as processes."""
