"""In-memory platform under virtual time for tests of direct nodes."""
