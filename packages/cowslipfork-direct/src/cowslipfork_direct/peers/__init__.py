"""Links between nodes: requests and replies over one connection to each node.

``PeerServer.handle`` registers a type of messages with its handler;
``PeerClient.request`` sends a message and decodes the reply as the type that
the requester states. Both ends must agree on the name of a message's class, and
on the fields of the message and its reply.
"""

from cowslipfork_direct.peers.client import PeerClient
from cowslipfork_direct.peers.errors import (
    PeerError,
    PeerLost,
    PeerNotReached,
    PeerRefused,
    PeerTimedOut,
)
from cowslipfork_direct.peers.messages import (
    Acknowledged,
    PeerReply,
    PeerRequest,
    RefusalReason,
)
from cowslipfork_direct.peers.remote_node import Dial, FindAddress
from cowslipfork_direct.peers.reserved_link import PeerLink
from cowslipfork_direct.peers.server import PeerServer
from cowslipfork_direct.peers.session import PeerSession

__all__ = (
    'Acknowledged',
    'Dial',
    'FindAddress',
    'PeerClient',
    'PeerError',
    'PeerLink',
    'PeerLost',
    'PeerNotReached',
    'PeerRefused',
    'PeerReply',
    'PeerRequest',
    'PeerServer',
    'PeerSession',
    'PeerTimedOut',
    'RefusalReason',
)
