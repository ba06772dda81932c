"""Writes the measured tables of docs/CAPACITY.md from the committed figures."""

from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).parents[1]
RESULTS = ROOT / "bench" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin {} -->"
END = "<!-- end {} -->"


def read_results(name: str) -> Any:
    """Return one file of figures."""
    return msgspec.json.decode((RESULTS / f"{name}.json").read_bytes())


def write_table(head: list[str], rows: list[list[str]]) -> str:
    """Return a table in Markdown."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def write_slopes() -> str:
    """Return the table of measured slopes."""
    rows = [
        [
            slope["name"],
            ", ".join(str(size) for size in slope["sizes"]) + f" ({slope['of']}s)",
            ", ".join(f"{value:,.1f}" for value in slope["values"]),
            f"{slope['base']:,.1f} + {slope['per_one']:.4g} each",
            f"{slope['fit']:.2f}",
            slope["unit"],
        ]
        for slope in read_results("capacity")["slopes"]
    ]
    return write_table(["what", "sizes", "measured", "line", "fit", "unit"], rows)


def write_ways() -> str:
    """Return the table of the control exchange's ways."""
    rows = [
        [
            way["way"],
            f"{way['peers']:,}",
            f"{way['messages_s']:,.0f}",
            f"{way['bytes_s']:,.0f}",
            f"{way['detection_s']:.1f}",
            f"{way['wrong_an_hour']:,.0f}",
        ]
        for way in read_results("capacity")["ways"]
    ]
    head = ["way", "peers", "messages/s", "bytes/s", "detection, s", "wrong an hour"]
    return write_table(head, rows)


def write_edits() -> str:
    """Return the table of an edit's cost by processes."""
    rows = [
        [
            f"{row['processes']:,}",
            f"{row['edit_calls']}",
            f"{row['in_force_s']:.3f}",
            f"{row['quiet_calls_s']:.2f}",
            f"{row['quiet_octets_s']:.0f}",
            f"{row['install_ms']:.1f}",
        ]
        for row in read_results("tablesync")
    ]
    head = [
        "processes",
        "platform calls an edit",
        "in force, s",
        "quiet calls/s",
        "quiet bytes/s a process",
        "install, ms",
    ]
    return write_table(head, rows)


def write_datapath() -> str:
    """Return the table of the data path's cost."""
    results = read_results("datapath")
    rows = [
        [
            row["what"],
            f"{row['rate_s']:,.0f}",
            f"{row['entry_us']:,.0f}",
            f"{row['agent_us']:,.0f}",
            f"{row['p50_ms']:.1f}",
            f"{row['p95_ms']:.1f}",
        ]
        for row in results["rows"]
    ]
    head = ["what", "a second", "entry, us", "agent, us", "p50, ms", "p95, ms"]
    table = write_table(head, rows)
    return f"{table}\n\nLoad average while measured: {results['load_average']:.1f}."


TABLES = {
    "slopes": write_slopes,
    "ways": write_ways,
    "edits": write_edits,
    "datapath": write_datapath,
}


def fill_page(text: str) -> str:
    """Return the page with every table made anew."""
    for name, write in TABLES.items():
        begin = BEGIN.format(name)
        end = END.format(name)
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f"{before}{begin}\n\n{write()}\n\n{end}{after}"
    return text


def write_page() -> None:
    """Write the page's tables in place."""
    PAGE.write_text(fill_page(PAGE.read_text()))
