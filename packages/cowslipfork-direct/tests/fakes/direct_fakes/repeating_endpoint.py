"""An endpoint that answers in order, and some lines a second time, late."""

from __future__ import annotations

import itertools

from cowslipfork.ids import Mark, Position, Term
from cowslipfork_direct.commands import (
    Begin,
    Demote,
    Execute,
    Hold,
    RequestStatus,
    Resume,
    Rollback,
    Run,
)
from cowslipfork_direct.link import EndpointReply, LinkLost, ReplyCode
from cowslipfork_direct.statements import Verb

_CONTROL = (RequestStatus, Hold, Resume, Demote)


class RepeatingEndpoint:
    """Runs commands at once; the test decides when copies arrive.

    Attributes:
        answers: the answer to each command that was sent, in order.
    """

    def __init__(self, fails=lambda command: None, copies=()):
        """Starts without replies.

        Args:
            fails: returns the code with which a command is refused, or None.
            copies: for each reply, after how many further replies its copy
                arrives; None if it never does.
        """
        self.answers = []
        self._fails = fails
        self._copies = iter(copies)
        self._numbers = itertools.count(1)
        self._arriving = []
        self._due = {}
        self._sent = 0
        self._transaction_open = False
        self._position = 1

    def send(self, commands):
        for command in commands:
            reply = self._run(command)
            self.answers.append((command, reply))
            self._deliver(reply)

    async def read(self):
        if not self._arriving:
            raise LinkLost('e1', 'nothing arrives any more')
        return self._arriving.pop(0)

    def send_copy(self, reply):
        """Sends a reply again."""
        self._arriving.append(reply)

    def send_after_next(self, reply):
        """Sends a reply again after the next one."""
        self._due.setdefault(self._sent, []).append(reply)

    def _deliver(self, reply):
        self._arriving.append(reply)
        delay = next(self._copies, None)
        if delay is not None:
            self._due.setdefault(self._sent + delay, []).append(reply)
        self._arriving += self._due.pop(self._sent, [])
        self._sent += 1

    def _run(self, command):
        code = self._fails(command)
        if code is not None:
            return self._reply(code, detail=code.name)
        match command:
            case Begin():
                self._transaction_open = True
            case Rollback():
                self._transaction_open = False
            case Run(statement):
                self._position += statement.verb is not Verb.READ
                if statement.verb is Verb.COMMIT:
                    self._transaction_open = False
        rows = ()
        signature = None
        if isinstance(command, Run | Execute):
            signature = f'signature {next(self._numbers)}'
            rows = (f'row {signature}',)
        elif isinstance(command, _CONTROL):
            rows = (f'status {self._position}',)
        return self._reply(ReplyCode.DONE, rows, signature)

    def _reply(self, code, rows=(), signature=None, detail=''):
        return EndpointReply(
            code,
            rows,
            signature,
            detail,
            Mark(Term(1), Position(self._position)),
            transaction_open=self._transaction_open,
        )
