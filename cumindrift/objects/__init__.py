"""Objects supervisor: client of the product's own object store."""
