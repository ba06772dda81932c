"""Maps each end of an attempt to whether the request ran and to the answer.

Only a statement of the upstream itself, or a connection over which no byte was sent,
proves that a request did not run. Every other end leaves it unknown, and the caller
never gets a status that promises otherwise.
"""

from msgspec import Struct

from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import AttemptEnd, Execution


class EndRule(Struct, frozen=True):
    """What follows from one end of an attempt.

    ``kind`` is the error that the caller gets if no other attempt is made.
    ``counts_as_failure`` states whether the end counts against the upstream.
    """

    ran: Execution
    kind: ErrorKind
    counts_as_failure: bool = False


# Ends that are an answer of the upstream that the request was sent to.
ANSWER_ENDS = frozenset(
    {AttemptEnd.ANSWERED, AttemptEnd.FAULT_ANSWERED, AttemptEnd.REJECTED}
)
END_RULES: dict[AttemptEnd, EndRule] = {
    AttemptEnd.ANSWERED: EndRule(Execution.YES, ErrorKind.UPSTREAM_FAILED),
    AttemptEnd.FAULT_ANSWERED: EndRule(Execution.YES, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.REJECTED: EndRule(Execution.NO, ErrorKind.QUEUE_FULL),
    AttemptEnd.MISDIRECTED: EndRule(Execution.NO, ErrorKind.NO_UPSTREAM),
    AttemptEnd.UNPROVEN: EndRule(Execution.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.UNREACHABLE: EndRule(Execution.NO, ErrorKind.NO_UPSTREAM, True),
    AttemptEnd.UNSENT: EndRule(Execution.NO, ErrorKind.NO_UPSTREAM),
    AttemptEnd.LOST: EndRule(Execution.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.GARBLED: EndRule(Execution.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.FOREIGN: EndRule(Execution.UNKNOWN, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.TRUNCATED: EndRule(Execution.YES, ErrorKind.UPSTREAM_FAILED, True),
    AttemptEnd.SILENT: EndRule(Execution.UNKNOWN, ErrorKind.UPSTREAM_SILENT, True),
    AttemptEnd.WITHDRAWN: EndRule(Execution.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN),
}
