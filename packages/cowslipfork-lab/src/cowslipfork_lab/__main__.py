"""Runs the lab's command line as ``python -m cowslipfork_lab``."""

from __future__ import annotations

from cowslipfork_lab.cli import main

main()
