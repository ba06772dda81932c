"""The command-line programs, and the wiring of each process."""
