"""The adapter of the users' platform: it translates and decides nothing."""
