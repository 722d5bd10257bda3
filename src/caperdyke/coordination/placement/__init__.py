"""Decides which backend server gets a request, and when none does."""
