"""Entry point of ``python -m primroseferry_cli``."""

from __future__ import annotations

from .console.application import main

main()
