"""Fleet supervisor: what the platform's store tells about the system."""
