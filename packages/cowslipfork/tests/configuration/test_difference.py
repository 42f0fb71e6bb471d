from cowslipfork.configuration import difference, files_of

OLD = '[kind a]\nreads = age 30s\nclass = lookup\n'
NEW = '# faster\n[kind a]\nclass = lookup\nreads = age 10s\n'


def test_names_section_and_key_and_ignores_order_and_comments():
    old = files_of(OLD, {})
    assert difference(old, files_of(NEW, {})).splitlines() == [
        '--- base (old)',
        '+++ base (new)',
        '@@ -2 +2 @@',
        '-[kind a] reads = age 30s',
        '+[kind a] reads = age 10s',
    ]
    assert not difference(old, files_of(f'# note\n{OLD}', {}))


def test_new_and_dropped_sites_are_shown():
    text = difference(files_of('', {'a': OLD}), files_of('', {'b': OLD}))
    assert '--- overlay a (old)' in text
    assert '+++ overlay b (new)' in text


def test_secrets_are_redacted_yet_their_change_shows():
    old = '[operator ada]\ntoken_hash = aaaa\n bbbb\n'
    new = '[operator ada]\ntoken_hash = cccc\n'
    text = difference(files_of(old, {}), files_of(new, {}))
    assert 'aaaa' not in text
    assert 'bbbb' not in text
    assert 'cccc' not in text
    assert text.count('<secret ') == 2
