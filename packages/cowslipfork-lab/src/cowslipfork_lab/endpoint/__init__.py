"""Stand-in of a database server: MySQL protocol, SQL and group statements."""

from __future__ import annotations

from cowslipfork_lab.endpoint.server import EndpointServer, run_endpoint
from cowslipfork_lab.endpoint.settings import EndpointSettings

__all__ = ['EndpointServer', 'EndpointSettings', 'run_endpoint']
