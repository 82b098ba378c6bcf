"""Command-line tool for shift supervisors and operators."""
