"""Membership supervisor: who is there, and in which state."""
