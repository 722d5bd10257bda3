"""Data types and tables that decisions read and change; imports no other layer."""
