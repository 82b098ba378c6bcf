"""Traffic supervisor: packets, flows and requests."""
