"""Bundle the records that the gateways keep in the store."""

from collections.abc import Coroutine

from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.numbering_records import NumberingRecords
from ragworthollow_daemon.gateway.quarantine_records import QuarantineRecords
from ragworthollow_daemon.gateway.resume_resolver import ResumeResolver
from ragworthollow_daemon.gateway.store_poller import StoreSubscriber
from ragworthollow_daemon.gateway.stream_origin_client import (
    StreamOriginClient,
)
from ragworthollow_daemon.gateway.stream_records import StreamRecords
from ragworthollow_daemon.gateway.version_records import VersionRecords


class StoreRecords:
    """
    Keep in the store what must outlast all gateways.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._streams = StreamRecords(context=context)
        self._versions = VersionRecords(context=context)
        self._numberings = NumberingRecords(context=context)
        self._quarantine = QuarantineRecords(context=context)

    def make_resolver(self, members: GatewayMembers) -> ResumeResolver:
        """Create the component that decides on resumptions of streams."""
        return ResumeResolver(
            context=self._context,
            versions=self._versions,
            streams=self._streams,
            origins=StreamOriginClient(context=self._context, members=members),
        )

    def list_subscribers(self) -> tuple[StoreSubscriber, ...]:
        """Return the subscribers, to be notified after that of instances."""
        return (
            self._versions,
            self._streams,
            self._numberings,
            self._quarantine,
        )

    def make_loops(self) -> tuple[Coroutine[None, None, None], ...]:
        """Return the loops that write the records until cancelled."""
        return (
            self._versions.run(),
            self._streams.run(),
            self._numberings.run(),
            self._quarantine.run(),
        )
