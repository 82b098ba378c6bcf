"""Experiments, measurements and the demonstration run."""
