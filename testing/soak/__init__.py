"""Tests of the fault soak itself, without gateway processes."""
