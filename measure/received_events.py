"""Read the events of a stream that has arrived at a caller."""

from dataclasses import dataclass

_EVENT_END = '\n\n'


@dataclass(frozen=True, kw_only=True)
class ReceivedEvent:
    """
    Hold one event.

    Attributes
    ----------
    event_id : int
        Number of the event in its stream.
    text : str
        Its data: the request and the name of the engine.
    """

    event_id: int
    text: str

    @property
    def version(self) -> str:
        """Return the software version of the engine, the prefix of its name."""
        return self.text.split(' ')[1].partition('-')[0]


def read_events(body: str) -> list[ReceivedEvent]:
    """Return the complete events of a body."""
    return [_read_event(text) for text in body.split(_EVENT_END)[:-1]]


def _read_event(text: str) -> ReceivedEvent:
    fields = dict(line.split(': ', 1) for line in text.split('\n'))
    return ReceivedEvent(event_id=int(fields['id']), text=fields['data'])
