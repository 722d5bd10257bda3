"""Global traffic steering for partners that share edge and data-centre capacity."""

__version__ = "0.1.0"
