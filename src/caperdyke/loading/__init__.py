"""Open-loop load generator that verifies answers, for measurements and the demo."""
