"""Package of cowslipfork; see its pyproject.toml."""
