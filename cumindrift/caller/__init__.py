"""Client library: opens flows, sends requests and returns responses."""
