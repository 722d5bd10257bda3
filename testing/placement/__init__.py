"""Tests of the selection of backend servers."""
