"""The agent beside a target: which packets its target gets."""
