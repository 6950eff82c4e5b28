"""Experiments with their committed results."""
