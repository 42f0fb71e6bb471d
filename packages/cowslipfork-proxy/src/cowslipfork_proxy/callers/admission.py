"""What a team may do with the database that it has selected."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipfork.configuration import Configuration, Group, Kind, Team
from cowslipfork.ids import GroupName, KindName, TeamName
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork.requests import Operation, QueryAttributes
from cowslipfork_proxy.callers.failures import (
    MysqlErrorCode,
    mysql_failure,
    outcome_failure,
)

#: Deadline of a request that names neither a kind nor a deadline, in seconds.
DEFAULT_DEADLINE = 10.0

_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Admission:
    """A team, let in to one group under one configuration.

    Attributes:
        configuration: that it was checked against.
        database: as the caller selected it.
        group: that the database belongs to.
        team: who is let in.
    """

    configuration: Configuration
    database: str
    group: GroupName
    team: Team

    def check(self, operation: Operation) -> None:
        """Checks that the team may do something.

        Args:
            operation: what it wants to do.

        Raises:
            CallerFailure: it may not.
        """
        if operation is Operation.WRITE and self.team.read_only:
            raise outcome_failure(
                NotRun(
                    Reason.FORBIDDEN,
                    detail=f'team {self.team.name} may only read',
                ),
            )

    def seconds(self, attributes: QueryAttributes) -> float:
        """Finds how long the caller waits.

        Args:
            attributes: of the statement.

        Returns:
            Seconds from arrival.

        Raises:
            CallerFailure: the kind is not configured.
        """
        kind = self._kind(attributes.kind)
        if attributes.deadline_ms is not None:
            return attributes.deadline_ms / _MS_PER_SECOND
        if kind is None:
            return DEFAULT_DEADLINE
        return self.configuration.classes[kind.class_name].deadline

    def _kind(self, name: KindName | None) -> Kind | None:
        if name is None:
            return None
        kind = self.configuration.kinds.get(name)
        if kind is None:
            raise outcome_failure(
                NotRun(Reason.BAD_REQUEST, detail=f"unknown kind '{name}'"),
            )
        return kind


def admit(
    configuration: Configuration,
    team_name: TeamName,
    database: str | None,
) -> Admission:
    """Lets a team in to a database.

    Args:
        configuration: in force.
        team_name: who asks.
        database: a group's name or its schema's name.

    Returns:
        The admission.

    Raises:
        CallerFailure: no such database, or not for this team.
    """
    if not database:
        raise mysql_failure(MysqlErrorCode.NO_DATABASE, 'No database selected')
    team = configuration.teams.get(team_name)
    if team is None:
        raise outcome_failure(
            NotRun(Reason.FORBIDDEN, detail=f'team {team_name} was removed'),
        )
    group = _group(configuration, database)
    if team.groups and group.name not in team.groups:
        raise mysql_failure(
            MysqlErrorCode.DATABASE_DENIED,
            f"Access denied for user '{team_name}' to database '{database}'",
        )
    return Admission(configuration, database, group.name, team)


def _group(configuration: Configuration, database: str) -> Group:
    named = configuration.groups.get(GroupName(database))
    found = named or next(
        (
            group
            for group in configuration.groups.values()
            if group.database == database
        ),
        None,
    )
    if found is None:
        raise mysql_failure(
            MysqlErrorCode.UNKNOWN_DATABASE, f"Unknown database '{database}'"
        )
    return found
