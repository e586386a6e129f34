"""Runs the gateway from a checkout, with the repository's source folders on ``sys.path``."""

from __future__ import annotations

import runpy
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [*sorted(ROOT.glob("packages/*/src")), ROOT / "platform", ROOT / "target" / "deps"]

if __name__ == "__main__":
    sys.path[:1] = [str(source) for source in SOURCES]
    runpy.run_module("primroseferry_fleet", run_name="__main__", alter_sys=True)
