"""Settings of one endpoint stand-in."""

from __future__ import annotations

from dataclasses import dataclass

#: Value of ``primary`` for the endpoint that starts as primary.
SELF = 'self'


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """What an endpoint is started with.

    Attributes:
        name: endpoint id.
        host: address to listen on.
        port: port of the MySQL protocol; 0 lets the system choose.
        control_port: port for faults; 0 lets the system choose.
        slots: statements that run at once.
        connections: connections of clients at once.
        primary: ``host:port`` of the first term's primary to follow;
            ``self`` to be it; empty to start fenced.
        journal: file that keeps the log over restarts; empty for none.
    """

    name: str
    host: str = '127.0.0.1'
    port: int = 0
    control_port: int = 0
    slots: int = 3
    connections: int = 20
    primary: str = ''
    journal: str = ''
