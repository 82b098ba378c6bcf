"""Fleet supervisor: a node's connection to the platform's store."""
