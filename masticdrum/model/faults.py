"""A validation error in declarations or settings, with the path of the value."""

from msgspec import Struct


class Fault(Struct, frozen=True):
    """What is wrong with the value at ``path``, such as ``pools[1].upstreams[0]``.

    The path is empty if the fault concerns the whole document.
    """

    path: str
    text: str

    def __str__(self) -> str:
        if not self.path:
            return self.text
        return f"{self.path}: {self.text}"
