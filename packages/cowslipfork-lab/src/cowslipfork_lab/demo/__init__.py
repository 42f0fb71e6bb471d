"""The demo: the whole path on loopback, step by step."""

from cowslipfork_lab.demo.demo import StepFailed, run_demo

__all__ = ('StepFailed', 'run_demo')
