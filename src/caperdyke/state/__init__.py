"""Data types and tables of the decision logic; imports no other layer."""
