"""Requests under which backend servers end."""
