"""Committed Cap'n Proto schemas, loaded without a generator."""
