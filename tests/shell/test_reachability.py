"""A source that comes and goes is told of once each time."""

from masticdrum.model.cluster_events import Source, SourceLost, SourceRegained
from masticdrum.shell.reachability import Reachability


def test_a_loss_and_a_return_are_told_once_each() -> None:
    told: list[SourceLost | SourceRegained] = []
    reach = Reachability(Source.ENGINE, told.append)
    reach.note_read()
    reach.note_lost("refused")
    reach.note_lost("timed out")
    reach.note_read()
    reach.note_read()
    lost, regained = told
    assert lost == SourceLost(Source.ENGINE, "refused")
    assert isinstance(regained, SourceRegained)
    assert regained.lost_s >= 0
