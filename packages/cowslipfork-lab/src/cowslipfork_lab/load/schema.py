"""Tables that the load works on, and what they hold at the end."""

from __future__ import annotations

from collections.abc import Iterable

JOBS = (
    # Without a unique key, so that a job that ran twice shows.
    'CREATE TABLE IF NOT EXISTS lab_job '
    '(token VARCHAR(64) NOT NULL, kind VARCHAR(64) NOT NULL)'
)
REGISTERS = (
    'CREATE TABLE IF NOT EXISTS lab_register '
    '(id INT NOT NULL PRIMARY KEY, number BIGINT NOT NULL)'
)
JOB_COUNTS = 'SELECT token, COUNT(*) FROM lab_job GROUP BY token'
REGISTER_NUMBERS = 'SELECT id, number FROM lab_register'


def insert_registers(keys: Iterable[int]) -> str:
    """Writes the statement that creates registers."""
    rows = ', '.join(f'({key}, 0)' for key in keys)
    return f'INSERT IGNORE INTO lab_register (id, number) VALUES {rows}'


def insert_job(token: str, kind: str) -> str:
    """Writes the statement of a job."""
    return f"INSERT INTO lab_job (token, kind) VALUES ('{token}', '{kind}')"


def update_register(key: int, number: int) -> str:
    """Writes the statement of a write.

    A write of unknown outcome may run after later ones; it then has no effect.
    """
    return (
        f'UPDATE lab_register SET number = {number} '
        f'WHERE id = {key} AND number < {number}'
    )


def read_register(key: int) -> str:
    """Writes the statement of a read."""
    return f'SELECT number FROM lab_register WHERE id = {key}'
