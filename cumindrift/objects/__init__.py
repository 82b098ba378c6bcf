"""Client of the object store, which holds the settings and the rosters."""
