"""Tests of what is known of servers and instances."""
