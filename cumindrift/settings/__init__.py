"""Settings supervisor: what the teams and shift supervisors wrote."""
