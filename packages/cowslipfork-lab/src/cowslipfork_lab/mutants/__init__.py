"""Mechanisms switched off one at a time, and the tests that notice."""

from cowslipfork_lab.mutants.run import run_mutants

__all__ = ('run_mutants',)
