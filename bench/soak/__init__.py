"""Randomized fault soak: gateway processes under external faults, judged by external checks."""
