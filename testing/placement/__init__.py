"""Tests of placing decisions."""
