"""Measurements of single parts, each a command of its own."""
