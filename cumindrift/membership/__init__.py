"""SWIM-like membership: which processes are alive, and in which state."""
