"""A platform that holds the record of software versions, without any network."""

import msgspec

from masticdrum.core.softwarerecords import SOFTWARE_PATH, SoftwareRecord
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)


class Platform:
    """The object of the record; ``failing`` is the status of the next answers."""

    def __init__(self) -> None:
        self.revision = 0
        self.body = b""
        self.era = 1
        self.saved = (0, b"")
        self.writes = 0
        self.failing: list[ObjectStatus] = []

    def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        assert call.path == SOFTWARE_PATH
        if self.failing:
            return ObjectAnswer(call.call, self.failing.pop(), era=self.era)
        if isinstance(call, ObjectPut):
            return self.write(call)
        if not self.revision:
            return ObjectAnswer(call.call, ObjectStatus.MISSING, era=self.era)
        return self.answer(call.call)

    def write(self, call: ObjectPut) -> ObjectAnswer:
        if call.expected != self.revision:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT, era=self.era)
        self.revision += 1
        self.writes += 1
        self.body = call.body
        return self.answer(call.call)

    def answer(self, call: str) -> ObjectAnswer:
        return ObjectAnswer(
            call, ObjectStatus.OK, self.revision, self.body, era=self.era
        )

    def save(self) -> None:
        self.saved = (self.revision, self.body)

    def restore(self) -> None:
        self.revision, self.body = self.saved
        self.era += 1

    def read(self) -> SoftwareRecord:
        return msgspec.json.decode(self.body, type=SoftwareRecord)
