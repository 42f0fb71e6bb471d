"""Open-loop load, faults and figures."""

from __future__ import annotations

from cowslipfork_lab.load.experiment import (
    Experiment,
    ExperimentSettings,
    Result,
)
from cowslipfork_lab.load.runner import Baseline, LoadSettings
from cowslipfork_lab.load.text import report_text

__all__ = [
    'Baseline',
    'Experiment',
    'ExperimentSettings',
    'LoadSettings',
    'Result',
    'report_text',
]
