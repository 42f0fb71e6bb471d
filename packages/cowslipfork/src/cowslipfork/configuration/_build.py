"""Turns raw sections into typed values by a schema, collecting problems."""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Iterable, Mapping
from typing import Any

from cowslipfork.configuration._ini import RawSection, Sourced
from cowslipfork.configuration._readers import name as read_name
from cowslipfork.configuration.problems import (
    BadValue,
    Problem,
    ProblemKind,
)
from cowslipfork.configuration.schema import Key, Section


def nearest(word: str, known: Iterable[str]) -> str:
    """Suggests the known word nearest to a mistaken one.

    Args:
        word: as written.
        known: words that would have been right.

    Returns:
        A question to append to a problem; empty if nothing is near.
    """
    close = difflib.get_close_matches(word, list(known), n=1, cutoff=0.6)
    return f'; did you mean "{close[0]}"?' if close else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Built:
    """A section that was read as far as it could be.

    Attributes:
        name: name in the heading; empty for sections without.
        fields: values by field of the model.
        made: value of the model; None if the section has problems.
    """

    schema: Section
    heading: str
    name: str
    raw: RawSection
    fields: dict[str, Any]
    made: Any

    def file_of(self, key: str) -> str:
        """Names the file of a key, or of the section if the key is absent."""
        source = self.raw.keys.get(key)
        return self.raw.file if source is None else source.file


class Builder:
    """Reads sections by a schema and keeps the problems found."""

    def __init__(self, schema: Iterable[Section]) -> None:
        """Starts without problems.

        Args:
            schema: sections that may stand in the files.
        """
        self._schema = {section.heading: section for section in schema}
        self._problems: list[Problem] = []

    @property
    def problems(self) -> list[Problem]:
        """Problems found so far."""
        return self._problems

    def build(
        self,
        sections: Mapping[str, RawSection],
        given: Mapping[str, Mapping[str, object]],
    ) -> list[Built]:
        """Reads all sections.

        Args:
            sections: raw sections by heading.
            given: fields that come from elsewhere, by heading.

        Returns:
            The known sections, in their order.
        """
        found = (
            self._section(heading, raw, given.get(heading, {}))
            for heading, raw in sections.items()
        )
        built = [section for section in found if section is not None]
        self._check_required(built)
        return built

    def _section(
        self,
        heading: str,
        raw: RawSection,
        given: Mapping[str, object],
    ) -> Built | None:
        word, _, name = heading.partition(' ')
        schema = self._schema.get(word)
        if schema is None:
            self._unknown_section(heading, word, raw)
            return None
        count = len(self._problems)
        self._check_name(schema, heading, name, raw)
        fields = self._fields(schema, heading, raw)
        made = None
        if len(self._problems) == count:
            naming = {'name': name} if schema.named else given
            made = schema.model(**fields, **naming)
        return Built(schema, heading, name, raw, fields, made)

    def _unknown_section(
        self, heading: str, word: str, raw: RawSection
    ) -> None:
        text = f'unknown section{nearest(word, self._schema)}'
        self._problems.append(
            Problem(raw.file, heading, '', text, ProblemKind.UNKNOWN_SECTION),
        )

    def _check_name(
        self,
        schema: Section,
        heading: str,
        name: str,
        raw: RawSection,
    ) -> None:
        text = ''
        if schema.named:
            try:
                read_name(name)
            except BadValue as bad:
                text = f'a name must follow "{schema.heading}": {bad.text}'
        elif name:
            text = f'[{schema.heading}] takes no name'
        if text:
            self._problems.append(Problem(raw.file, heading, '', text))

    def _fields(
        self,
        schema: Section,
        heading: str,
        raw: RawSection,
    ) -> dict[str, Any]:
        fields: dict[str, Any] = {}
        for written, source in raw.keys.items():
            key = schema.key(written)
            if key is None:
                self._unknown_key(schema, heading, written, source)
            else:
                self._value(key, heading, source, fields)
        self._check_missing(schema, heading, raw)
        return fields

    def _unknown_key(
        self,
        schema: Section,
        heading: str,
        written: str,
        source: Sourced,
    ) -> None:
        known = [key.name for key in schema.keys]
        text = f'unknown key{nearest(written, known)}'
        self._problems.append(
            Problem(
                source.file,
                heading,
                written,
                text,
                ProblemKind.UNKNOWN_KEY,
            ),
        )

    def _value(
        self,
        key: Key,
        heading: str,
        source: Sourced,
        fields: dict[str, Any],
    ) -> None:
        try:
            fields[key.field_name] = key.read(source.text)
        except BadValue as bad:
            self._problems.append(
                Problem(source.file, heading, key.name, bad.text, bad.kind),
            )

    def _check_missing(
        self,
        schema: Section,
        heading: str,
        raw: RawSection,
    ) -> None:
        self._problems.extend(
            Problem(
                raw.file,
                heading,
                key.name,
                f'is missing; expected {key.form}',
                ProblemKind.MISSING,
            )
            for key in schema.keys
            if key.name not in raw.keys
            and schema.default(key) is dataclasses.MISSING
        )

    def _check_required(self, built: list[Built]) -> None:
        present = {section.schema.heading for section in built}
        self._problems.extend(
            Problem('', heading, '', 'is missing', ProblemKind.MISSING)
            for heading, schema in self._schema.items()
            if schema.required and heading not in present
        )
