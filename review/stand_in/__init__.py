"""Stand-ins of the platform, its store, the servers and the callers.

Written for the cases of this review from the users' pages; only the standard
library is used. Everything listens on loopback addresses and free ports.
"""
