"""Reducers and the pure functions they call, without I/O, clock or global state."""
