"""Maps each end of an attempt to whether the request ran and to the answer.

Only a statement of the upstream itself, or a connection over which no byte was sent,
proves that a request did not run. Every other end leaves it unknown, and the caller
never gets a status that promises otherwise.
"""

from msgspec import Struct

from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import AttemptEnd, Ran


class EndRule(Struct, frozen=True):
    """What follows from one end of an attempt.

    ``kind`` is the error that the caller gets if no other attempt is made.
    ``counts_as_failure`` states whether the end counts against the upstream.
    """

    ran: Ran
    kind: ErrorKind
    counts_as_failure: bool = False


END_RULES: dict[AttemptEnd, EndRule] = {
    AttemptEnd.ANSWERED: EndRule(Ran.YES, ErrorKind.UPSTREAM_FAILED),
    AttemptEnd.FAULT_ANSWERED: EndRule(Ran.YES, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.REJECTED: EndRule(Ran.NO, ErrorKind.QUEUE_FULL),
    AttemptEnd.MISDIRECTED: EndRule(Ran.NO, ErrorKind.NO_UPSTREAM),
    AttemptEnd.UNPROVEN: EndRule(Ran.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.UNREACHABLE: EndRule(Ran.NO, ErrorKind.NO_UPSTREAM, True),
    AttemptEnd.UNSENT: EndRule(Ran.NO, ErrorKind.NO_UPSTREAM),
    AttemptEnd.LOST: EndRule(Ran.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.GARBLED: EndRule(Ran.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.FOREIGN: EndRule(Ran.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.TRUNCATED: EndRule(Ran.YES, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.SILENT: EndRule(Ran.UNKNOWN, ErrorKind.UPSTREAM_SILENT, True),
    AttemptEnd.WITHDRAWN: EndRule(Ran.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN),
}
