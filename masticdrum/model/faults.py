"""A fault in declarations or settings, with the path of the faulty value."""

from msgspec import Struct


class Fault(Struct, frozen=True):
    """What is wrong with the value at ``path``, such as ``pools[1].upstreams[0]``.

    The path is empty where the whole value is meant.
    """

    path: str
    text: str

    def __str__(self) -> str:
        if not self.path:
            return self.text
        return f"{self.path}: {self.text}"
