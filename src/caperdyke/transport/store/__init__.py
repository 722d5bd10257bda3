"""Readers and writers of the platform's store."""
