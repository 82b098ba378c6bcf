"""Steering supervisor: flows over the fabric that the users' platform has."""
