"""Decides how a service's traffic moves to another version of its software."""
