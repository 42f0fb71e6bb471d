"""Sessions: what a caller has written, carried from proxy to proxy."""

from cowslipfork.sessions.token import (
    MAX_TOKEN_GROUPS,
    TokenMalformed,
    decode_token,
    encode_token,
    is_token,
)

__all__ = (
    'MAX_TOKEN_GROUPS',
    'TokenMalformed',
    'decode_token',
    'encode_token',
    'is_token',
)
