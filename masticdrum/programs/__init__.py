"""Command lines and the wiring of one process each."""
