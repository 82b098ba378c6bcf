"""Objects supervisor: the product's own object API, and who feeds from it."""
