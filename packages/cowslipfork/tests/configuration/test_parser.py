from pathlib import Path

import pytest

from cowslipfork.configuration import (
    AgeRule,
    FreshRule,
    ProblemKind,
    Role,
    SessionRule,
    parse_configuration,
)
from cowslipfork.ids import SiteName

SAMPLES = Path(__file__).parents[4] / 'samples'
SITE = SiteName('punjab')

BASE = """
[class lookup]
weight = 10
queue = 400
deadline = 2s

[kind festival_list]
class = lookup
reads = age 30s

[operator ada]
token_hash = {token}
role = operator
""".format(token='a' * 64)

OVERLAY = """
[site]
region = punjab
failure_domains = lahore-a, multan

[endpoint one]
host = 10.0.0.1
port = 3306
failure_domain = lahore-a
slots = 3
connections = 20

[endpoint two]
host = 10.0.0.2
port = 3306
failure_domain = multan
slots = 3
connections = 20

[group observances]
database = observances
endpoints = one, two
"""

TWENTY_MISTAKES_BASE = """
stray = 1
[limit]
drain = 10s
[limits]
drain = 10
statement_bytes = 1MB
callers = 0
callers = 5
retry_share = much
holt = 3
[class lookup]
weight = 0
queue = few
[kind festival_list]
class = lokup
reads = age 30
job = maybe
[operator ada]
token_hash = 12
role = owner
[failover]
probe_interval = 1s
"""

TWENTY_MISTAKES_OVERLAY = """
[endpoint one]
host = localhost
port = 99999
failure_domain = lahore-a
slots = 3
connections = 3
[group a]
database = shared
endpoints = one, tow
[group a]
[group b]
database = shared
endpoints = two
"""

TWENTY_MISTAKES = [
    ('base', '', '', ProblemKind.SYNTAX, 'line 2'),
    ('base', 'limits', 'callers', ProblemKind.DUPLICATE, 'twice'),
    ('overlay punjab', 'group a', '', ProblemKind.DUPLICATE, 'twice'),
    ('base', 'limit', '', ProblemKind.UNKNOWN_SECTION, '"limits"?'),
    ('base', 'limits', 'drain', ProblemKind.BAD_VALUE, 'unit'),
    ('base', 'limits', 'statement_bytes', ProblemKind.BAD_VALUE, 'KiB'),
    ('base', 'limits', 'callers', ProblemKind.OUT_OF_RANGE, '1 to 100000'),
    ('base', 'limits', 'retry_share', ProblemKind.BAD_VALUE, 'number'),
    ('base', 'limits', 'holt', ProblemKind.UNKNOWN_KEY, '"hold"?'),
    ('base', 'class lookup', 'weight', ProblemKind.OUT_OF_RANGE, '1 to 1000'),
    ('base', 'class lookup', 'queue', ProblemKind.BAD_VALUE, 'whole'),
    ('base', 'class lookup', 'deadline', ProblemKind.MISSING, 'duration'),
    ('base', 'kind festival_list', 'reads', ProblemKind.BAD_VALUE, 'unit'),
    ('base', 'kind festival_list', 'job', ProblemKind.BAD_VALUE, 'yes'),
    ('base', 'operator ada', 'token_hash', ProblemKind.BAD_VALUE, '64'),
    ('base', 'operator ada', 'role', ProblemKind.BAD_VALUE, 'viewer'),
    ('overlay punjab', 'endpoint one', 'host', ProblemKind.BAD_VALUE, 'IP'),
    ('overlay punjab', 'endpoint one', 'port', ProblemKind.OUT_OF_RANGE, '65'),
    ('overlay punjab', 'site', '', ProblemKind.MISSING, 'missing'),
    (
        'base',
        'kind festival_list',
        'class',
        ProblemKind.BAD_REFERENCE,
        '"lookup"?',
    ),
    ('overlay punjab', 'group a', 'endpoints', ProblemKind.BAD_REFERENCE, 'to'),
    ('overlay punjab', 'group b', 'endpoints', ProblemKind.BAD_REFERENCE, 'tw'),
    ('overlay punjab', 'group b', 'database', ProblemKind.DUPLICATE, 'group a'),
    (
        'overlay punjab',
        'endpoint one',
        'connections',
        ProblemKind.CONTRADICTION,
        'slots',
    ),
    (
        'base',
        'failover',
        'suspect_after',
        ProblemKind.CONTRADICTION,
        'probe_interval',
    ),
]


def test_overlay_wins_over_base():
    overlay = f'{OVERLAY}\n[class lookup]\nweight = 7\n'
    configuration = parse_configuration(BASE, overlay, SITE).ok
    lookup = configuration.classes['lookup']
    assert (lookup.weight, lookup.queue, lookup.deadline) == (7, 400, 2)
    assert configuration.site.name == SITE
    assert configuration.groups['observances'].endpoints == ('one', 'two')
    assert configuration.operators['ada'].role is Role.OPERATOR


def test_the_same_texts_are_read_once():
    first = parse_configuration(BASE, OVERLAY, SITE).ok
    # Equal texts of another revision, not the same objects.
    again = parse_configuration(f'{BASE} '[:-1], f'{OVERLAY} '[:-1], SITE).ok
    assert again is first
    other = parse_configuration(f'{BASE}\n[limits]\nhold = 3', OVERLAY, SITE)
    assert other.ok.limits.hold == 3


@pytest.mark.parametrize(
    ('text', 'rule'),
    [
        ('age 30s', AgeRule(30)),
        ('age 250ms', AgeRule(0.25)),
        ('session', SessionRule()),
        ('fresh', FreshRule()),
    ],
)
def test_reading_rules(text, rule):
    base = BASE.replace('age 30s', text)
    configuration = parse_configuration(base, OVERLAY, SITE).ok
    assert configuration.kinds['festival_list'].reads == rule


def test_every_mistake_is_reported_at_once():
    problems = parse_configuration(
        TWENTY_MISTAKES_BASE,
        TWENTY_MISTAKES_OVERLAY,
        SITE,
    ).error.problems
    found = [(p.file, p.section, p.key, p.kind) for p in problems]
    assert found == [mistake[:4] for mistake in TWENTY_MISTAKES]
    for problem, mistake in zip(problems, TWENTY_MISTAKES, strict=True):
        assert mistake[4] in problem.text


@pytest.mark.parametrize(
    ('extra', 'kind'),
    [
        ('[endpoint three]\nhost = 10.0.0.1\nport = 3306', 'MISSING'),
        ('[group x]\ndatabase = x\nendpoints = one', 'DUPLICATE'),
        ('[endpoint three]\nfailure_domain = quetta', 'BAD_REFERENCE'),
        ('[limits now]\n', 'BAD_VALUE'),
        ('[team]\n', 'BAD_VALUE'),
        ('[team a]\npassword_hash = 1\n[team a]\n', 'DUPLICATE'),
        ('[DEFAULT]\nweight = 1', 'UNKNOWN_SECTION'),
        ('[group y]\ndatabase = y\nendpoints = one, one', 'DUPLICATE'),
        ('no equals sign', 'SYNTAX'),
    ],
)
def test_single_mistakes(extra, kind):
    base = f'{BASE}\n{extra}\n'
    problems = parse_configuration(base, OVERLAY, SITE).error.problems
    assert ProblemKind[kind] in {problem.kind for problem in problems}


@pytest.mark.parametrize(
    ('deployment', 'site', 'kinds', 'slots', 'connections'),
    [('hilal', 'punjab', 8, 3, 20), ('nilebean', 'cairo', 9, 5, 60)],
)
def test_samples_are_right(deployment, site, kinds, slots, connections):
    folder = SAMPLES / deployment
    configuration = parse_configuration(
        (folder / 'base.ini').read_text(),
        (folder / f'{site}.ini').read_text(),
        SiteName(site),
    ).ok
    assert len(configuration.kinds) == kinds
    assert len(configuration.groups) == 3
    assert len(configuration.site.failure_domains) == 4
    assert {
        (endpoint.slots, endpoint.connections)
        for endpoint in configuration.endpoints.values()
    } == {(slots, connections)}
