"""Serving system for generations of unknown length on crowded engines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
