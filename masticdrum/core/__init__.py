"""Reducers and the pure decisions they call; no input, output, clock or globals."""
