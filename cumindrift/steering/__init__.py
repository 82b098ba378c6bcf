"""Steering: forwards the packets of each flow to the target that holds it."""
