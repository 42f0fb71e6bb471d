"""Sessions: read-your-writes through any node."""
