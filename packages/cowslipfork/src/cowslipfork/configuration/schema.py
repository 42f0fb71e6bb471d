"""What sections and keys exist: the types behind the schema tables."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from cowslipfork.configuration._readers import Read


@dataclass(frozen=True, slots=True)
class Key:
    """A key of a section.

    Attributes:
        name: as operators write it.
        read: turns the text into the value.
        form: the text that it accepts, for the reference page.
        meaning: one sentence for the reference page.
        attribute: field of the model, if named otherwise.
        refers: heading of the sections that the value must name.
        secret: whether the text is kept out of differences and logs.
    """

    name: str
    read: Read
    form: str
    meaning: str
    attribute: str = ''
    refers: str = ''
    secret: bool = False

    @property
    def field_name(self) -> str:
        """Field of the model that the value fills."""
        return self.attribute or self.name


@dataclass(frozen=True, slots=True)
class Section:
    """A sort of section.

    Attributes:
        heading: first word of the heading.
        named: whether a name follows, as in ``[kind lookup]``.
        model: makes the typed value from the keys, and the name if named.
        meaning: one sentence for the reference page.
        required: whether a configuration without it is refused.
    """

    heading: str
    named: bool
    model: type[Any]
    meaning: str
    keys: tuple[Key, ...]
    required: bool = False

    def key(self, name: str) -> Key | None:
        """Finds a key.

        Args:
            name: as written.

        Returns:
            The key, or None if the section has none of that name.
        """
        return next((key for key in self.keys if key.name == name), None)

    def default(self, key: Key) -> object:
        """Finds the value of an absent key.

        Args:
            key: key of this section.

        Returns:
            The default, or ``dataclasses.MISSING`` for a required key.
        """
        defaults = {field.name: field.default for field in fields(self.model)}
        return defaults[key.field_name]
