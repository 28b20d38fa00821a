"""The example in README.md runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_readme_embedding_example_sends_its_request(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parents[2] / "README.md").read_text(encoding="utf-8")
    example = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    assert example is not None
    assert example[1].count("\n") <= 16
    exec(compile(example[1], "README.md", "exec"), {})
    assert capsys.readouterr().out.startswith("send 7 to 10.0.0.")
