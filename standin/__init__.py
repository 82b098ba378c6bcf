"""Small stand-ins for the fabric, the targets and the platform."""
