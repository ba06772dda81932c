"""Declarations are read into tables, and differences are listed by name."""

import pytest

from masticdrum.core.declarations import (
    POOLS_FILE,
    ROUTES_FILE,
    read_declarations,
    write_declarations,
)
from masticdrum.core.tablediff import list_changes
from masticdrum.core.tableedit import (
    KEPT_EDITS,
    digest_tables,
    holds_edit,
    list_returning,
    prepare_edit,
    set_out,
)
from masticdrum.model.tables import Tables
from tests.tablesamples import make_tables


def test_written_declarations_read_back_the_same() -> None:
    tables = make_tables()
    assert read_declarations(write_declarations(tables)).unwrap() == tables


@pytest.mark.parametrize(
    ("file", "old", "new", "text"),
    [
        (ROUTES_FILE, b'"p"', b'"q"', "routes.json: routes[0].pool: pool 'q' is"),
        (POOLS_FILE, b"p:", b"p;", "pools.json: stores[0].address: 'http;"),
        (POOLS_FILE, b'"m"', b"1", "pools.json: pools[0].model: Expected `str`"),
        (ROUTES_FILE, b'"routes":', b"", "routes.json: JSON is malformed"),
    ],
)
def test_fault_names_file_and_path(
    file: str, old: bytes, new: bytes, text: str
) -> None:
    files = write_declarations(make_tables())
    files[file] = files[file].replace(old, new)
    assert str(read_declarations(files).failure()[0]).startswith(text)


def test_changes_name_their_rows() -> None:
    old = make_tables(serial=3)
    new = make_tables(serial=9, centres="ac")
    texts = [
        str(change) for change in list_changes(old, set_out(new, "a", True).unwrap())
    ]
    assert "~ data_centres[a].out: false -> true" in texts
    assert '- data_centres[b]: {"name":"b","region":"r","out":false}' in texts
    assert any(text.startswith("+ pools[p].upstreams[u-c0]: {") for text in texts)
    assert list_changes(old, make_tables(serial=4)) == []


def test_edits_are_recognised_below_later_ones() -> None:
    first = prepare_edit(Tables(), make_tables())
    second = prepare_edit(first, set_out(first, "a", True).unwrap())
    assert (first.serial, second.serial) == (1, 2)
    assert holds_edit(second, first.edits[0])
    assert not holds_edit(first, second.edits[-1])
    assert second.edits[-1].digest == digest_tables(second)
    assert prepare_edit(Tables(), make_tables(), floor=40).serial == 41


def test_remembered_edits_are_bounded() -> None:
    tables = Tables()
    for _ in range(KEPT_EDITS + 5):
        tables = prepare_edit(tables, make_tables())
    assert len(tables.edits) == KEPT_EDITS


def test_unknown_data_centre_is_named() -> None:
    fault = set_out(make_tables(), "x", True).failure()
    assert str(fault) == "data_centres: data centre 'x' is not listed"


def test_returning_data_centres_are_found() -> None:
    out = set_out(make_tables(), "b", True).unwrap()
    assert list_returning(out, make_tables()) == ["b"]
    assert list_returning(make_tables(), out) == []
