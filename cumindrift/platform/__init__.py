"""Adapter for the users' platform: only translates formats."""
