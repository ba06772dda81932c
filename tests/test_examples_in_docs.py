"""The examples in the docs run."""

import re
from pathlib import Path

import pytest

DOCS = Path(__file__).parents[1] / "docs"
FENCE = re.compile(r"```python\n(.*?)```", re.DOTALL)


def list_examples() -> list[tuple[str, str]]:
    return [
        (page.name, code)
        for page in sorted(DOCS.glob("*.md"))
        for code in FENCE.findall(page.read_text())
    ]


def test_there_are_examples() -> None:
    assert list_examples()


@pytest.mark.parametrize(("page", "code"), list_examples())
def test_example_runs(page: str, code: str) -> None:
    exec(compile(code, page, "exec"), {})
