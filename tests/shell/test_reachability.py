"""Each loss and each return of a source is reported once."""

from masticdrum.model.cluster_events import Source, SourceLost, SourceRegained
from masticdrum.shell.reachability import Reachability


def test_a_loss_and_a_return_are_reported_once_each() -> None:
    events: list[SourceLost | SourceRegained] = []
    reach = Reachability(Source.ENGINE, events.append)
    reach.record_success()
    reach.record_failure("refused")
    reach.record_failure("timed out")
    reach.record_success()
    reach.record_success()
    lost, regained = events
    assert lost == SourceLost(Source.ENGINE, "refused")
    assert isinstance(regained, SourceRegained)
    assert regained.lost_s >= 0
