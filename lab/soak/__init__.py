"""Soak test: real node processes with faults injected from outside."""
