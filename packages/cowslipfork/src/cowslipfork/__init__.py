"""Domain of the cowslipfork database proxy.

Each subpackage or module holds one concept. Nothing here opens a caller's
socket or an endpoint's connection: those live in ``cowslipfork_proxy``.
"""
