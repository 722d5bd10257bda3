"""Caperdyke steers the traffic of partners who share edge and data-centre capacity."""

__version__ = "0.1.0"
