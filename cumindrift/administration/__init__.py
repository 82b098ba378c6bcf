"""Administration supervisor: HTTP for operators and metrics."""
