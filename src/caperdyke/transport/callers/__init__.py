"""Callers: look-ups, requests and their answers."""
