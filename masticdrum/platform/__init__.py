"""Translates between the users' platform and this project's types, and nothing else."""
