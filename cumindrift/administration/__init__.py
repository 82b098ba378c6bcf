"""Administration API: an HTTP server for operators and metrics."""
