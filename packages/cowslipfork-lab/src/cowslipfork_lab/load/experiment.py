"""An experiment: a cluster, a load, a fault, a check and a report."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import asyncmy
from asyncmy.errors import MySQLError, OperationalError

from cowslipfork.configuration import ReadingRule
from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import GroupName, KindName
from cowslipfork.outcomes import Reason
from cowslipfork_lab.cluster import Cluster
from cowslipfork_lab.cluster.cluster import Rows
from cowslipfork_lab.cluster.plan import LOOPBACK
from cowslipfork_lab.history import (
    Violation,
    check_jobs,
    check_registers,
    write_history,
)
from cowslipfork_lab.load import measure, schema
from cowslipfork_lab.load.faults import primary_of
from cowslipfork_lab.load.mix import MixEntry, mix_of
from cowslipfork_lab.load.runner import Baseline, Load, LoadSettings
from cowslipfork_lab.load.schedule import ScheduledFault, bring

_SETUP_TRIES = 150
_SETUP_SECONDS = 10.0
_SETUP_PAUSE_SECONDS = 0.2
_SLOT_TRIES = 100


@dataclass(frozen=True, slots=True)
class ExperimentSettings:
    """What an experiment does.

    Attributes:
        load: size of the load.
        baseline: what callers are connected to.
        faults: faults with their times.
        service_ms: time that each statement holds its slot.
    """

    load: LoadSettings
    baseline: Baseline = Baseline.PROXY
    faults: Sequence[ScheduledFault] = ()
    service_ms: float = 0


class GroupNotServed(CowslipforkError):
    """No node took the tables of a group."""

    def __init__(self, group: GroupName) -> None:
        """Remembers which.

        Args:
            group: the group.
        """
        super().__init__(f'no node serves group {group}')
        self.group = group


@dataclass(frozen=True, slots=True)
class Result:
    """What came out.

    Attributes:
        document: figures for a JSON report.
        violations: broken promises.
    """

    document: Mapping[str, Any]
    violations: Sequence[Violation]


class Experiment:
    """Runs one load on a running cluster."""

    def __init__(
        self,
        cluster: Cluster,
        settings: ExperimentSettings,
        directory: Path,
    ) -> None:
        """Prepares an experiment.

        Args:
            cluster: a cluster that has started.
            settings: what to do.
            directory: where history and report go.
        """
        self._cluster = cluster
        self._settings = settings
        self._directory = directory
        self._configuration = cluster.plan.configuration
        self._groups = cluster.plan.group_names
        self._mix: Sequence[MixEntry] = mix_of(cluster.plan.site, self._groups)
        self._load = Load(
            settings.load,
            self._mix,
            self._configuration,
            {group: self._ports(group) for group in self._groups},
        )

    async def run(self) -> Result:
        """Runs the load with its fault and checks the history.

        Returns:
            Figures and broken promises.
        """
        for group in self._groups:
            await self._set_up(group)
        await self._slow_down()
        faults = [
            asyncio.create_task(bring(self._cluster, fault))
            for fault in self._settings.faults
        ]
        await self._load.run()
        struck = await asyncio.gather(*faults)
        write_history(self._directory / 'history.jsonl', self._load.attempts)
        document = await self._report(struck)
        violations = await self._check()
        document['violations'] = [str(violation) for violation in violations]
        report = json.dumps(document, indent=2)
        (self._directory / 'report.json').write_text(report)
        return Result(document, violations)

    async def _slow_down(self) -> None:
        if self._settings.service_ms:
            for name, _, _ in self._cluster.endpoint_ports():
                await self._cluster.set_fault(
                    name,
                    'lab_service_ms',
                    self._settings.service_ms,
                )

    def _ports(self, group: GroupName) -> Sequence[int]:
        if self._settings.baseline == Baseline.PROXY:
            return self._cluster.caller_ports
        first = self._cluster.plan.endpoints(group)[0]
        return [self._cluster.port(first.name)]

    async def _set_up(self, group: GroupName) -> None:
        """Creates tables as a caller, as soon as the group is served."""
        team = next(one.team for one in self._mix if group in one.groups)
        statements = (
            schema.JOBS,
            schema.REGISTERS,
            schema.insert_registers(self._load.registers[group]),
        )
        for _ in range(_SETUP_TRIES):
            async with asyncio.timeout(_SETUP_SECONDS):
                failure = await self._run_all(group, team, statements)
            if failure is None:
                return
            await asyncio.sleep(_SETUP_PAUSE_SECONDS)
        raise GroupNotServed(group) from failure

    async def _run_all(
        self,
        group: GroupName,
        team: str,
        statements: Sequence[str],
    ) -> MySQLError | None:
        try:
            connection = await asyncmy.connect(
                host=LOOPBACK,
                port=self._ports(group)[0],
                user=team,
                password=f'{team}-sample',
                db=self._configuration.groups[group].database,
                autocommit=True,
            )
        except MySQLError as error:
            return error
        try:
            async with connection.cursor() as cursor:
                for statement in statements:
                    await cursor.execute(statement)
        except MySQLError as error:
            return error
        finally:
            connection.close()
        return None

    async def _check(self) -> list[Violation]:
        attempts = self._load.attempts
        jobs = await self._job_counts()
        registers = await self._register_numbers()
        return [
            *check_jobs(attempts, jobs),
            *check_registers(attempts, self._rules(), registers),
        ]

    async def _job_counts(self) -> dict[str, int]:
        return {
            token: count
            for group in self._groups
            for token, count in await self._select(group, schema.JOB_COUNTS)
        }

    async def _register_numbers(self) -> dict[tuple[str, str], int]:
        return {
            (group, str(key)): number
            for group in self._groups
            for key, number in await self._select(
                group,
                schema.REGISTER_NUMBERS,
            )
        }

    async def _select(self, group: GroupName, sql: str) -> Rows:
        primary = await primary_of(self._cluster, group)
        for _ in range(_SLOT_TRIES):
            try:
                return await self._cluster.select(primary, sql)
            except OperationalError as error:
                # Requests that were given up may still hold slots.
                if error.args[0] != Reason.NO_FREE_SLOT.value:
                    raise
            await asyncio.sleep(_SETUP_PAUSE_SECONDS)
        return await self._cluster.select(primary, sql)

    async def _counts(self) -> dict[str, dict[str, int]]:
        cluster = self._cluster
        return {
            endpoint.name: await cluster.counts(endpoint.name)
            for group in self._groups
            for endpoint in cluster.plan.endpoints(group)
            if cluster.running(endpoint.name)
        }

    def _rules(self) -> dict[KindName, ReadingRule]:
        kinds = self._configuration.kinds
        return {name: kind.reads for name, kind in kinds.items()}

    def _weights(self) -> dict[KindName, int]:
        configuration = self._configuration
        return {
            name: configuration.classes[kind.class_name].weight
            for name, kind in configuration.kinds.items()
        }

    async def _report(self, faults: Sequence[measure.Fault]) -> dict[str, Any]:
        finished_requests = self._load.finished_requests
        kinds = measure.statistics_by_kind(finished_requests)
        endpoints = await self._counts()
        in_time = sum(one.in_time for one in kinds.values())
        return {
            'settings': {
                **asdict(self._settings.load),
                'baseline': self._settings.baseline.value,
                'service_ms': self._settings.service_ms,
                'faults': [fault.name for fault in faults],
                'nodes': len(self._cluster.nodes),
            },
            'requests': len(finished_requests),
            'goodput_per_second': in_time / self._settings.load.seconds,
            'weighted_availability': measure.weighted_availability(
                kinds,
                self._weights(),
            ),
            'replica_read_share': measure.replica_share(endpoints.values()),
            'failover_gap_seconds': [
                measure.failover_gap(finished_requests, fault)
                for fault in faults
            ],
            'kinds': measure.as_document(kinds),
            'endpoints': endpoints,
        }
