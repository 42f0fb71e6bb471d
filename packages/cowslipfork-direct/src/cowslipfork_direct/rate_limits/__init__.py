"""Rate limits of workspaces over all nodes."""

from cowslipfork_direct.rate_limits.client import RateLimits
from cowslipfork_direct.rate_limits.limiter import Limiter, LimiterContext
from cowslipfork_direct.rate_limits.limits import LimitInForce
from cowslipfork_direct.rate_limits.messages import (
    Acquire,
    Acquired,
    Granted,
    NotLimiter,
    Report,
    Reported,
)
from cowslipfork_direct.rate_limits.reporter import FleetView
from cowslipfork_direct.rate_limits.service import serve_limiter
from cowslipfork_direct.rate_limits.votes import Votes

__all__ = (
    'Acquire',
    'Acquired',
    'FleetView',
    'Granted',
    'LimitInForce',
    'Limiter',
    'LimiterContext',
    'NotLimiter',
    'RateLimits',
    'Report',
    'Reported',
    'Votes',
    'serve_limiter',
)
