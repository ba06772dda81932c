"""Fakes of the external systems, without I/O or a clock of their own."""

from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
    ObjectStatus,
)

ObjectCall = ObjectGet | ObjectPut | ObjectDelete | ObjectList


class FakeObjects:
    """The object API's table; versions grow with every write, also after a deletion."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.writes = 0
        self.reads = 0
        self.written_bytes = 0

    def apply(self, call: ObjectCall) -> ObjectAnswer:
        match call:
            case ObjectGet():
                return self._get(call)
            case ObjectPut():
                return self._put(call)
            case ObjectDelete():
                return self._delete(call)
            case ObjectList():
                names = sorted(n for n in self.objects if n.startswith(call.prefix))
                return ObjectAnswer(call.call, ObjectStatus.OK, names=tuple(names))

    def _get(self, call: ObjectGet) -> ObjectAnswer:
        self.reads += 1
        if call.path not in self.objects:
            return ObjectAnswer(call.call, ObjectStatus.MISSING)
        version, body = self.objects[call.path]
        return ObjectAnswer(call.call, ObjectStatus.OK, version, body)

    def _put(self, call: ObjectPut) -> ObjectAnswer:
        self.writes += 1
        assert len(call.body) <= 1_000_000
        if self.objects.get(call.path, (0, b""))[0] != call.expected:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
        self.version += 1
        self.written_bytes += len(call.body)
        self.objects[call.path] = (self.version, call.body)
        return ObjectAnswer(call.call, ObjectStatus.OK, self.version)

    def _delete(self, call: ObjectDelete) -> ObjectAnswer:
        self.writes += 1
        if call.path not in self.objects:
            return ObjectAnswer(call.call, ObjectStatus.MISSING)
        if self.objects[call.path][0] != call.expected:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
        self.version += 1
        del self.objects[call.path]
        return ObjectAnswer(call.call, ObjectStatus.OK)
