"""Processes of the system, started with the command of the deploy file."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

#: The template deploy/settings.ini as the platform fills it in.
SETTINGS = """\
[node]
vm = {name}
failure_domain = {zone}
callers = {host}:{callers}
readiness = {host}:{readiness}
metrics = {host}:{metrics}
relay = {host}:{relay}
store = 127.0.0.1:{store}
promotions = 127.0.0.1:{platform}
grace = {grace}s
cores = 2
core_share = 0.817
link_mbps = 1500.0
"""

_random = random.SystemRandom()

_PORTS = ('callers', 'readiness', 'metrics', 'relay')


class Node:
    """One process and its settings file."""

    def __init__(self, record, name, zone, folder, store, platform, grace=6):
        self.name = name
        # Connections that others open have the source 127.0.0.1, so no port
        # here is taken by one of them while the process is down.
        self.host = f'127.{_random.randint(1, 254)}.{_random.randint(1, 254)}.1'
        self.ports = dict(zip(_PORTS, free_ports(self.host, len(_PORTS))))
        self._record = record
        self._log = folder / f'{name}.log'
        self._file = folder / f'{name}.ini'
        self._file.write_text(
            SETTINGS.format(
                name=name,
                host=self.host,
                zone=zone,
                store=store,
                platform=platform,
                grace=grace,
                **self.ports,
            )
        )
        self._process = None

    @property
    def running(self):
        return self._process is not None and self._process.poll() is None

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['COWSLIPFORK_NODE_FILE'] = str(self._file)
        with open(self._log, 'ab') as output:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._record.note('started', self.name, 'pid', self._process.pid)

    def send(self, number):
        """Sends a signal to the process."""
        if self.running:
            self._record.note(signal.Signals(number).name, self.name)
            self._process.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        if self._process is not None:
            if self.running:
                self._process.kill()
            self._process.wait()

    async def ready(self):
        """Returns whether the readiness check answers with 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ports['readiness']
                )
                writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


def free_ports(host, count):
    """Returns ports of an address on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports
