"""The soak: real nodes as processes, and faults from outside them."""
