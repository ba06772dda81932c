"""Checks that must hold whatever happens; a broken one ends the process."""


class InvariantBroken(Exception):
    """A statement that must always hold is false."""


def require(holds: bool, statement: str) -> None:
    """Raise ``InvariantBroken`` naming ``statement`` unless it holds."""
    if not holds:
        raise InvariantBroken(statement)
