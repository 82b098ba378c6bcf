"""Stand-ins for what stands around the nodes, for the script cases."""
