"""Small stand-ins for fabric, targets, platform and object store."""
