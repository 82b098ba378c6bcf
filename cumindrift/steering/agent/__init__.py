"""The agent beside a target: decides which packets the target receives."""
