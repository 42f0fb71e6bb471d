"""Connections to endpoints over the MySQL protocol."""

from cowslipfork_proxy.endpoints.connection import (
    ConnectionBroken,
    EndpointConnection,
    EndpointRefused,
    Login,
    open_connection,
)
from cowslipfork_proxy.endpoints.control import MysqlControl
from cowslipfork_proxy.endpoints.pool import Pool, PoolClosed

__all__ = (
    'ConnectionBroken',
    'EndpointConnection',
    'EndpointRefused',
    'Login',
    'MysqlControl',
    'Pool',
    'PoolClosed',
    'open_connection',
)
