"""Proves by parsing that a shape only reads."""

from __future__ import annotations

from sqlglot import exp, parse_one
from sqlglot.errors import SqlglotError

#: Functions of MySQL without side effects that the parser has no class for.
_PURE_FUNCTIONS = frozenset(
    """
    adddate addtime aes_decrypt aes_encrypt any_value bin bin_to_uuid
    bit_count charset coercibility collation compress conv convert_tz
    crc32 elt export_set extractvalue field find_in_set format from_base64
    from_days from_unixtime get_format grouping inet6_aton inet6_ntoa
    inet_aton inet_ntoa insert instr interval is_ipv4 is_ipv6 is_uuid
    json_array json_array_append json_array_insert json_arrayagg
    json_contains json_contains_path json_depth json_insert json_keys
    json_length json_merge_patch json_merge_preserve json_overlaps
    json_pretty json_quote json_remove json_replace json_schema_valid
    json_search json_set json_storage_size json_type json_unquote
    json_valid json_value locate log10 log2 make_set makedate maketime
    mbrcontains microsecond mid mod name_const now oct octet_length ord
    period_add period_diff pi point position quote random_bytes
    regexp_instr regexp_like regexp_replace regexp_substr row sec_to_time
    sleep soundex space st_astext st_contains st_distance
    st_distance_sphere st_geomfromtext st_intersects st_within st_x st_y
    strcmp subdate subtime sysdate time time_format time_to_sec timediff
    timestamp to_base64 to_days to_seconds truncate uncompress
    unix_timestamp utc_date utc_time utc_timestamp uuid uuid_short
    uuid_to_bin validate_password_strength weekday weight_string yearweek
    """.split(),
)

#: Stands for any literal: INTERVAL, DATE and x need a string, LIMIT takes it.
_SAMPLE_LITERAL = "'11'"

_CHANGING = (exp.DML, exp.DDL, exp.Into, exp.Lock, exp.Command)


def is_pure_read(shape: str) -> bool:
    """Parses a shape and looks for anything that may write or lock.

    Args:
        shape: a statement without literals.

    Returns:
        True if it is understood and only reads.
    """
    sample = shape.replace('?', _SAMPLE_LITERAL)
    try:
        tree = parse_one(sample, dialect='mysql')
    except (SqlglotError, RecursionError):
        return False
    if not isinstance(tree, exp.Query | exp.Values):
        return False
    return not any(
        node is not tree and _may_change(node) for node in tree.walk()
    )


def _may_change(node: exp.Expr) -> bool:
    if isinstance(node, exp.Anonymous):
        return node.name.lower() not in _PURE_FUNCTIONS
    return isinstance(node, _CHANGING) and not isinstance(node, exp.Query)
