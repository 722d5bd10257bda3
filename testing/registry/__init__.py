"""Tests of the registry of servers and instances, and of its sources."""
