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
    """Return the decoded results file of a bench."""
    return msgspec.json.decode((RESULTS / f"{name}.json").read_bytes())


def format_table(head: list[str], rows: list[list[str]]) -> str:
    """Format a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def format_slopes() -> str:
    """Format the table of measured slopes."""
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
    return format_table(["what", "sizes", "measured", "line", "fit", "unit"], rows)


def format_ways() -> str:
    """Format the table of ways to detect a failed upstream."""
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
    return format_table(head, rows)


def format_edits() -> str:
    """Format the table of an edit's cost by the number of processes."""
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
    return format_table(head, rows)


def format_datapath() -> str:
    """Format the table of the data path's cost."""
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
    table = format_table(head, rows)
    return f"{table}\n\nLoad average while measured: {results['load_average']:.1f}."


TABLES = {
    "slopes": format_slopes,
    "ways": format_ways,
    "edits": format_edits,
    "datapath": format_datapath,
}


def fill_page(text: str) -> str:
    """Return the page with every table formatted from the current results."""
    for name, format_rows in TABLES.items():
        begin = BEGIN.format(name)
        end = END.format(name)
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f"{before}{begin}\n\n{format_rows()}\n\n{end}{after}"
    return text


def write_page() -> None:
    """Update the tables in the page's file."""
    PAGE.write_text(fill_page(PAGE.read_text()))
