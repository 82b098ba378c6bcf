"""Settings that teams and shift supervisors write, and their distribution."""
