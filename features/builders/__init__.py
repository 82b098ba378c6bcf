"""Builders of test data, one module for each kind of data."""
