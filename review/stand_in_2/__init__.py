"""Stand-ins and a small stage for the scripts of the second review."""
