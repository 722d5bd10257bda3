"""Handles look-ups and requests of callers."""
