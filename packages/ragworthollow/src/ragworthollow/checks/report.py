"""Render findings for a terminal."""

from collections.abc import Iterable

from ragworthollow.checks.check_message import CheckMessage, Severity


def has_errors(messages: Iterable[CheckMessage]) -> bool:
    """Return whether any finding is an error."""
    return any(message.severity is Severity.error for message in messages)


def render_messages(messages: Iterable[CheckMessage]) -> str:
    """
    Render findings, one line each.

    Parameters
    ----------
    messages : iterable of CheckMessage
        Findings of the checks.

    Returns
    -------
    str
        Lines of the form `where: (id) text HINT: hint`.
    """
    return '\n'.join(_render(message) for message in messages)


def _render(message: CheckMessage) -> str:
    hint = f' HINT: {message.hint}' if message.hint else ''
    location = f'{message.where}: ' if message.where else ''
    return f'{location}({message.check_id}) {message.text}{hint}'
