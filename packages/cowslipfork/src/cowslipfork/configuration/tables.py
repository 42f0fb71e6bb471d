"""The schema of a configuration: one table for each section."""

from __future__ import annotations

from cowslipfork.configuration import _address_readers as address_readers
from cowslipfork.configuration import _readers as readers
from cowslipfork.configuration import model
from cowslipfork.configuration.schema import Key, Section

SITE = Section(
    'site',
    named=False,
    required=True,
    model=model.Site,
    meaning="The site that an overlay is for; its name is the overlay's.",
    keys=(
        Key('region', readers.name, 'name', 'Region of the site.'),
        Key(
            'failure_domains',
            readers.names,
            'names',
            'Failure domains in which its VMs and endpoints run.',
        ),
        Key(
            'one_way_delay',
            readers.duration('0ms', '1s'),
            'duration, 0ms to 1s',
            'Delay one way between failure domains.',
        ),
    ),
)

LIMITS = Section(
    'limits',
    named=False,
    model=model.Limits,
    meaning='Limits that hold on every node.',
    keys=(
        Key(
            'statement_bytes',
            readers.size('1KiB', '64MiB'),
            'size, 1KiB to 64MiB',
            'Longest statement.',
        ),
        Key(
            'transaction_idle',
            readers.duration('100ms', '1h'),
            'duration, 100ms to 1h',
            'Time after which an idle transaction is rolled back.',
        ),
        Key(
            'callers',
            readers.integer(1, 100_000),
            '1 to 100000',
            'Most caller connections of a node.',
        ),
        Key(
            'retry_share',
            readers.fraction(0, 1),
            '0 to 1',
            'Retries allowed per first try.',
        ),
        Key(
            'hold',
            readers.integer(0, 100_000),
            '0 to 100000',
            'Most requests of a group held through a change of primary.',
        ),
        Key(
            'drain',
            readers.duration('100ms', '10m'),
            'duration, 100ms to 10m',
            'Time that a leaving node gives transactions in flight.',
        ),
    ),
)

FAILOVER = Section(
    'failover',
    named=False,
    model=model.Failover,
    meaning='Times of the promotion of a new primary.',
    keys=(
        Key(
            'probe_interval',
            readers.duration('10ms', '10s'),
            'duration, 10ms to 10s',
            'Time between status samples of an endpoint.',
        ),
        Key(
            'probe_timeout',
            readers.duration('10ms', '10s'),
            'duration, 10ms to 10s',
            'Time after which a sample counts as silent.',
        ),
        Key(
            'suspect_after',
            readers.duration('50ms', '1m'),
            'duration, 50ms to 1m',
            'Silence of a primary until other nodes are asked.',
        ),
        Key(
            'claim_step',
            readers.duration('10ms', '10s'),
            'duration, 10ms to 10s',
            'Delay per rank of claimer.',
        ),
    ),
)

CLASS = Section(
    'class',
    named=True,
    model=model.RequestClass,
    meaning='A class of requests that shares a weight in the queues.',
    keys=(
        Key(
            'weight',
            readers.integer(1, 1000),
            '1 to 1000',
            "Share of an endpoint's slots under contention.",
        ),
        Key(
            'queue',
            readers.integer(0, 100_000),
            '0 to 100000',
            'Most requests of the class that wait at one group.',
        ),
        Key(
            'deadline',
            readers.duration('10ms', '10m'),
            'duration, 10ms to 10m',
            'Deadline of a request that brings none.',
        ),
    ),
)

KIND = Section(
    'kind',
    named=True,
    model=model.Kind,
    meaning='A kind of request with its reading rule and class.',
    keys=(
        Key(
            'class',
            readers.name,
            'name of a class',
            'Class whose weight and queue apply.',
            attribute='class_name',
            refers='class',
        ),
        Key(
            'reads',
            readers.reading_rule,
            'age <duration> | session | fresh',
            'Reading rule of its reads.',
        ),
        Key(
            'job',
            readers.switch,
            'yes | no',
            'Whether a write needs a request_id and is recorded once.',
        ),
        Key(
            'primary_reads',
            readers.switch,
            'yes | no',
            'Whether its reads may fall back on the primary.',
        ),
    ),
)

ENDPOINT = Section(
    'endpoint',
    named=True,
    model=model.Endpoint,
    meaning='A database server.',
    keys=(
        Key('host', address_readers.host, 'IP number', 'Where it listens.'),
        Key('port', readers.integer(1, 65535), '1 to 65535', 'TCP port.'),
        Key(
            'failure_domain',
            readers.name,
            'name of a failure domain',
            "One of its site's failure domains.",
        ),
        Key(
            'slots',
            readers.integer(1, 10_000),
            '1 to 10000',
            'Statements that run at once.',
        ),
        Key(
            'connections',
            readers.integer(2, 100_000),
            '2 to 100000',
            'Connections that the server accepts.',
        ),
    ),
)

GROUP = Section(
    'group',
    named=True,
    model=model.Group,
    meaning='A database group.',
    keys=(
        Key('database', readers.name, 'name', 'Schema that callers select.'),
        Key(
            'endpoints',
            readers.names,
            'names of endpoints',
            'Its servers; the first is the primary of the first term.',
            refers='endpoint',
        ),
    ),
)

TEAM = Section(
    'team',
    named=True,
    model=model.Team,
    meaning='A team of callers; its name is their login.',
    keys=(
        Key(
            'password_hash',
            readers.digest(40),
            '40 hexadecimal digits',
            'SHA1(SHA1(password)); `cowslipfork password hash` prints it.',
            secret=True,
        ),
        Key(
            'groups',
            readers.names,
            'names of groups',
            'Groups that the team may use; absent: all.',
            refers='group',
        ),
        Key(
            'requests',
            readers.integer(1, 100_000),
            '1 to 100000',
            'Most requests of the team in flight at one node.',
        ),
        Key(
            'read_only',
            readers.switch,
            'yes | no',
            'Whether writes are refused.',
        ),
    ),
)

OPERATOR = Section(
    'operator',
    named=True,
    model=model.Operator,
    meaning='A person or program that uses the administration API.',
    keys=(
        Key(
            'token_hash',
            readers.digest(64),
            '64 hexadecimal digits',
            'SHA-256 of the credential; `cowslipfork token new` prints it.',
            secret=True,
        ),
        Key(
            'role',
            readers.choice(model.Role),
            'viewer | operator',
            'A viewer looks; an operator also changes.',
        ),
    ),
)

#: Every section that base file and overlays may hold.
CONFIGURATION = (
    SITE,
    LIMITS,
    FAILOVER,
    CLASS,
    KIND,
    ENDPOINT,
    GROUP,
    TEAM,
    OPERATOR,
)
