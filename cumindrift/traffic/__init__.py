"""Traffic plane: steering of packets, flows and caller requests."""
