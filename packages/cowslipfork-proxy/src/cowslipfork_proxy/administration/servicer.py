"""The service ``Admin``: changes, history, status and drains."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

import grpc

from cowslipfork.changes import (
    AuditQuery,
    Change,
    ChangeId,
    ConfigurationHistory,
    query_audit,
)
from cowslipfork.configuration import (
    Configuration,
    Role,
)
from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import Revision, VmId
from cowslipfork.store import RecordUnreadable, Store, StoreDown
from cowslipfork.wire import admin_pb2, admin_pb2_grpc
from cowslipfork.wire.records_pb2 import ConfigurationRecord
from cowslipfork_proxy.administration._replies import accept_reply, redacted
from cowslipfork_proxy.administration.identity import (
    Forbidden,
    Identity,
    NoCredential,
    credential,
    identify,
    require,
)

log = logging.getLogger(__name__)


class CallFailed(CowslipforkError):
    """A call that this service cannot serve."""


class NotFound(CallFailed):
    """What the call names does not exist."""


class VmSilent(CallFailed):
    """Another VM did not do what it was told."""

    def __init__(self, vm: VmId, cause: str) -> None:
        """Remembers which.

        Args:
            vm: the VM.
            cause: its answer, or what failed.
        """
        super().__init__(f'VM {vm}: {cause}')
        self.vm = vm


#: Most audit records in one reply.
MAX_HISTORY: Final = 500

#: Bound of a call passed on to another VM, in seconds.
FORWARD_TIMEOUT: Final = 5

_DEFAULT_HISTORY: Final = 20
_RETRY_AFTER: Final = (('retry-after-ms', '1000'),)

_STATUS: Final = MappingProxyType(
    {
        NoCredential: grpc.StatusCode.UNAUTHENTICATED,
        NotFound: grpc.StatusCode.NOT_FOUND,
        Forbidden: grpc.StatusCode.PERMISSION_DENIED,
        StoreDown: grpc.StatusCode.UNAVAILABLE,
        VmSilent: grpc.StatusCode.UNAVAILABLE,
        RecordUnreadable: grpc.StatusCode.DATA_LOSS,
    },
)


@dataclass(frozen=True, slots=True)
class AdminDependencies:
    """What the service reaches of its node.

    Attributes:
        vm: name of the node.
        store: the platform's store.
        changes: accepted configurations.
        configuration: gives the one in force at the node.
        status: describes the node and all that it knows of others.
        drain: starts the drain of the node itself.
        admin_stub_for: reaches the service of another VM; None: no such VM.
        bootstrap_hash: of the credential for the first configuration.
    """

    vm: VmId
    store: Store
    changes: ConfigurationHistory
    configuration: Callable[[], Configuration]
    status: Callable[[], admin_pb2.StatusReply]
    drain: Callable[[], Awaitable[None]]
    admin_stub_for: Callable[[VmId], admin_pb2_grpc.AdminStub | None]
    bootstrap_hash: str = ''


class AdminService(admin_pb2_grpc.AdminServicer):
    """Serves operators; every call needs a credential."""

    def __init__(self, dependencies: AdminDependencies) -> None:
        """Serves from a node's parts.

        Args:
            dependencies: what the service reaches of its node.
        """
        self._dependencies = dependencies

    async def Accept(
        self,
        request: admin_pb2.AcceptRequest,
        context: Any,
    ) -> admin_pb2.AcceptReply:
        """Accepts a change, or says why not."""
        async with self._caller(context, Role.OPERATOR) as caller:
            if caller.first_only and request.expected_revision:
                raise Forbidden(caller.name, 'a credential of an operator')
            change = Change(
                Revision(request.expected_revision),
                request.base,
                dict(request.overlays),
                caller.name,
                request.reason,
                ChangeId(request.change_id),
            )
            outcome = await self._dependencies.changes.accept(change)
            reply = accept_reply(outcome)
            _log_change(change, reply)
            return reply

    async def Current(
        self,
        request: admin_pb2.CurrentRequest,
        context: Any,
    ) -> ConfigurationRecord:
        """Gives an accepted configuration; viewers get it without secrets."""
        async with self._caller(context, Role.VIEWER) as caller:
            _refuse_first_only(caller)
            changes = self._dependencies.changes
            record = (
                await changes.at(Revision(request.revision))
                if request.revision
                else await changes.current()
            )
            if record is None:
                raise NotFound('no such revision, or it has been archived')
            return record if caller.role is Role.OPERATOR else redacted(record)

    async def History(
        self,
        request: admin_pb2.HistoryRequest,
        context: Any,
    ) -> admin_pb2.HistoryReply:
        """Queries the audit trail."""
        async with self._caller(context, Role.VIEWER) as caller:
            _refuse_first_only(caller)
            query = AuditQuery(
                limit=min(request.limit or _DEFAULT_HISTORY, MAX_HISTORY),
                operator=request.operator,
                since_ms=request.since_ms,
                containing=request.containing,
                before=request.before,
            )
            page = await query_audit(self._dependencies.store, query)
            return admin_pb2.HistoryReply(
                records=page.records,
                next_before=page.next_before,
            )

    async def Status(
        self,
        request: admin_pb2.StatusRequest,
        context: Any,
    ) -> admin_pb2.StatusReply:
        """Describes the fleet as this node sees it."""
        async with self._caller(context, Role.VIEWER):
            return self._dependencies.status()

    async def Drain(
        self,
        request: admin_pb2.DrainRequest,
        context: Any,
    ) -> admin_pb2.DrainReply:
        """Starts the drain of a VM; another one is told under the same name."""
        async with self._caller(context, Role.OPERATOR) as caller:
            _refuse_first_only(caller)
            vm = VmId(request.vm or self._dependencies.vm)
            log.info(
                'drain asked for',
                extra={'operator': caller.name, 'drained': vm},
            )
            if vm == self._dependencies.vm:
                await self._dependencies.drain()
                return admin_pb2.DrainReply(started=True)
            return await self._forward_drain(vm, context)

    async def _forward_drain(
        self,
        vm: VmId,
        context: Any,
    ) -> admin_pb2.DrainReply:
        admin: Any = self._dependencies.admin_stub_for(vm)
        if admin is None:
            raise NotFound(f'no VM {vm}')
        try:
            return await admin.Drain(
                admin_pb2.DrainRequest(vm=vm),
                timeout=FORWARD_TIMEOUT,
                metadata=credential(context.invocation_metadata()),
            )
        except grpc.aio.AioRpcError as error:
            raise VmSilent(vm, error.details() or error.code().name) from error

    @asynccontextmanager
    async def _caller(
        self,
        context: Any,
        role: Role,
    ) -> AsyncIterator[Identity]:
        """Lets a caller with a role in; typed failures become a status."""
        try:
            identity = identify(
                context.invocation_metadata() or (),
                self._dependencies.configuration(),
                self._dependencies.bootstrap_hash,
            )
            require(identity, role)
            yield identity
        except (NoCredential, Forbidden) as refusal:
            _log_refusal(context, refusal)
            await _abort(context, refusal)
        except (CallFailed, StoreDown, RecordUnreadable) as failure:
            await _abort(context, failure)


async def _abort(context: Any, failure: CowslipforkError) -> None:
    status = next(
        status for sort, status in _STATUS.items() if isinstance(failure, sort)
    )
    down = status is grpc.StatusCode.UNAVAILABLE
    await context.abort(status, str(failure), _RETRY_AFTER if down else ())


def _refuse_first_only(caller: Identity) -> None:
    if caller.first_only:
        raise Forbidden(caller.name, 'an accepted configuration')


def _log_refusal(context: Any, refusal: CowslipforkError) -> None:
    log.warning(
        'administration refused',
        extra={'peer': context.peer(), 'cause': str(refusal)},
    )


def _log_change(change: Change, reply: admin_pb2.AcceptReply) -> None:
    log.info(
        'change answered',
        extra={
            'operator': change.operator,
            'change_id': change.change_id,
            'expected_revision': change.expected,
            'result': reply.WhichOneof('result'),
        },
    )
