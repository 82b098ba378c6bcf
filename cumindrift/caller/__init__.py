"""Library for callers: flows, requests and whole answers."""
