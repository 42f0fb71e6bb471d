from __future__ import annotations

import asyncio
import contextlib
import signal
import ssl
import struct
import subprocess
from pathlib import Path

import pymysql
import pytest

from cowslipfork_proxy.callers import (
    CallerSettings,
    CertificateUnusable,
    reload_on_hangup,
    serve_callers,
)

from .drivers import asyncmy_connection, with_connector, with_pymysql

CERTIFICATE, KEY = 'certificate.pem', 'key.pem'


def make_certificate(folder: Path, name: str) -> None:
    subprocess.run(
        [
            *('openssl', 'req', '-x509', '-newkey', 'rsa:2048', '-nodes'),
            *('-subj', f'/CN={name}', '-addext', 'subjectAltName=IP:127.0.0.1'),
            *('-keyout', KEY, '-out', CERTIFICATE, '-days', '2'),
        ],
        cwd=folder,
        check=True,
        capture_output=True,
    )


@pytest.fixture
async def secured(run, configuration, tmp_path):
    make_certificate(tmp_path, 'first')
    settings = CallerSettings(
        '127.0.0.1',
        0,
        certificate=tmp_path / CERTIFICATE,
        key=tmp_path / KEY,
    )
    serving = await serve_callers(settings, run, lambda: configuration[0])
    yield serving
    await serving.close()


def peer(connection) -> bytes:
    with connection.cursor() as cursor:
        cursor.execute('SELECT 1')
        assert cursor.fetchall() == ((1,),)
    return connection._sock.getpeercert(binary_form=True)


async def test_drivers_under_tls(secured, tmp_path):
    trusted = {'ssl_ca': str(tmp_path / CERTIFICATE)}
    options = {**trusted, 'ssl_verify_cert': True, 'ssl_verify_identity': True}
    assert await with_pymysql(secured, peer, **options)

    def ask(connection):
        with connection.cursor() as cursor:
            cursor.execute("SHOW VARIABLES LIKE 'have_ssl'")
            return cursor.fetchall()

    assert await with_connector(secured, ask, **trusted) == [
        ('have_ssl', 'YES'),
    ]
    context = ssl.create_default_context(cafile=tmp_path / CERTIFICATE)
    async with asyncmy_connection(secured, ssl=context) as connection:
        async with connection.cursor() as cursor:
            await cursor.execute('SELECT 1')
            assert await cursor.fetchall() == ((1,),)


async def test_wrong_password_under_tls(secured, tmp_path):
    with pytest.raises(pymysql.MySQLError) as raised:
        await with_pymysql(
            secured,
            peer,
            ssl_ca=str(tmp_path / CERTIFICATE),
            password='wrong',
        )
    assert raised.value.args[0] == 1045


async def test_a_certificate_is_replaced_while_serving(secured, tmp_path):
    first = await with_pymysql(secured, peer, ssl={'verify_mode': 'none'})
    make_certificate(tmp_path, 'second')
    secured.reload_certificate()
    second = await with_pymysql(secured, peer, ssl={'verify_mode': 'none'})
    assert second != first
    (tmp_path / KEY).write_text('no key')
    with pytest.raises(CertificateUnusable):
        secured.reload_certificate()
    kept = await with_pymysql(secured, peer, ssl={'verify_mode': 'none'})
    assert kept == second


async def test_a_hangup_signal_reads_the_certificate_again(secured, tmp_path):
    reload_on_hangup(secured)
    first = await with_pymysql(secured, peer, ssl={'verify_mode': 'none'})
    make_certificate(tmp_path, 'second')
    signal.raise_signal(signal.SIGHUP)
    await asyncio.sleep(0)
    second = await with_pymysql(secured, peer, ssl={'verify_mode': 'none'})
    assert second != first
    (tmp_path / CERTIFICATE).unlink()
    signal.raise_signal(signal.SIGHUP)
    kept = await with_pymysql(secured, peer, ssl={'verify_mode': 'none'})
    assert kept == second


async def test_a_caller_without_tls_is_served(secured):
    def ask(connection):
        with connection.cursor() as cursor:
            cursor.execute('SELECT 1')
            return cursor.fetchall()

    assert await with_pymysql(secured, ask, ssl_disabled=True) == ((1,),)


async def test_tls_that_begins_in_the_packet_that_asks_for_it(
    secured,
    tmp_path,
):
    context = ssl.create_default_context(cafile=tmp_path / CERTIFICATE)
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = context.wrap_bio(incoming, outgoing, server_hostname='127.0.0.1')
    reader, writer = await asyncio.open_connection('127.0.0.1', secured.port)
    await reader.read(4096)
    asks_for_tls = struct.pack('<IIIB', 32 | 1 << 24, 0xAA00, 1, 45)
    with pytest.raises(ssl.SSLWantReadError):
        client.do_handshake()
    writer.write(asks_for_tls + bytes(23) + outgoing.read())
    while client.version() is None or not client.cipher():
        incoming.write(await reader.read(4096))
        with contextlib.suppress(ssl.SSLWantReadError):
            client.do_handshake()
    assert client.getpeercert()
    writer.close()
