"""spurarch: a cluster scheduler run by a few cooperating controllers."""

__version__ = "0.1.0"
