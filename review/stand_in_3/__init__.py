"""Stand-ins of the third review: store, platform, servers, links, clients.

Standard library only. Everything listens on loopback addresses.
"""
