"""Propagation of the tables of the store through a fleet, on a simulated clock."""
