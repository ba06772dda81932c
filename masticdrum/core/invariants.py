"""Checks of invariants; a violation ends the work in which it is found."""


class InvariantBroken(Exception):
    """An invariant does not hold."""


def require(holds: bool, statement: str) -> None:
    """Raise ``InvariantBroken`` with ``statement`` as its message unless it holds."""
    if not holds:
        raise InvariantBroken(statement)
