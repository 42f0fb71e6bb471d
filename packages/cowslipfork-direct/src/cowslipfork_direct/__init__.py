"""A node that connects directly to the endpoints of all groups.

Statements arrive already parsed, so nothing here parses SQL. Adapters for
callers, endpoints and the platform's store are separate; the interfaces to them
are ``link`` for endpoints, ``cowslipfork.store`` for the store and
``promotion`` for changes of primary.
"""
