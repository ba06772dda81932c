"""From each way in which an attempt can end to whether it ran, and to the answer.

Only an upstream's own word, or a connection over which no octet left, proves that a
request did not run. Everything else is unknown and is never answered with a status
that promises otherwise.
"""

from msgspec import Struct

from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import AttemptEnd, Ran


class EndRule(Struct, frozen=True):
    """What follows from one way of ending.

    ``kind`` is the error that the caller is told if nothing else is tried. ``blames``
    tells whether the end counts against the upstream.
    """

    ran: Ran
    kind: ErrorKind
    blames: bool = False


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
