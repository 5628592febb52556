"""Exchange messages with stage instances."""

from weakref import WeakKeyDictionary

import aiohttp

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.platform.request_wire import REQUEST_ID_HEADER
from ragworthollow.platform.stage_wire import EXPECT_INSTANCE, RUN_PATH
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.upstreams import LoadTracker
from ragworthollow.utils import make_identifier
from ragworthollow_daemon.gateway.attribution import Attribution
from ragworthollow_daemon.gateway.connection_history import ConnectionHistory
from ragworthollow_daemon.gateway.stage_message import StageMessage
from ragworthollow_daemon.gateway.stage_response import StageResponse

_STEP = 'pieces'
_JSON = 'application/json'


class StageExchange:
    """
    Send messages to stage instances, and attribute their responses.

    Each message carries an identifier of its own, which an instance may
    return.  A connection is used again only if a copy of its last response
    could be told from the response to a later call.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session whose responses keep their connections until released.
    load_tracker : LoadTracker
        Remembers which instances return identifiers.
    metrics : Metrics
        Metrics of this process.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        load_tracker: LoadTracker,
        metrics: Metrics,
    ) -> None:
        self._session = session
        self._load_tracker = load_tracker
        self._metrics = metrics
        self._histories: WeakKeyDictionary[object, ConnectionHistory] = (
            WeakKeyDictionary()
        )

    async def send(self, message: StageMessage) -> StageResponse:
        """
        Send a message and read its response.

        Parameters
        ----------
        message : StageMessage
            Message to send.

        Returns
        -------
        StageResponse
            The response; a foreign one says nothing about the message.

        Raises
        ------
        TimeoutError, aiohttp.ClientError, OSError
            There is no complete response.
        """
        identifier = make_identifier()
        async with self._session.request(
            message.method,
            f'http://{message.instance.address}{message.path}',
            data=message.body,
            headers=_make_headers(message, identifier),
            timeout=message.timeout,
            allow_redirects=False,
        ) as response:
            return await self._receive(message, identifier, response)

    async def _receive(
        self,
        message: StageMessage,
        identifier: str,
        response: aiohttp.ClientResponse,
    ) -> StageResponse:
        history = self._find_history(response)
        attribution = Attribution.foreign
        try:
            body = await read_bounded(
                response, global_settings.MAX_MESSAGE_BYTES
            )
            attribution = self._attribute(
                message, identifier, response, body, history
            )
        finally:
            if not attribution.keeps_connection():
                response.close()
        return StageResponse(
            status=response.status,
            headers=response.headers,
            body=body,
            attribution=attribution,
        )

    def _find_history(
        self, response: aiohttp.ClientResponse
    ) -> ConnectionHistory:
        connection = response.connection
        if connection is None or connection.protocol is None:
            # The peer has closed it, so that it is not used again.
            return ConnectionHistory()
        return self._histories.setdefault(
            connection.protocol, ConnectionHistory()
        )

    def _attribute(
        self,
        message: StageMessage,
        identifier: str,
        response: aiohttp.ClientResponse,
        body: bytes,
        history: ConnectionHistory,
    ) -> Attribution:
        named = response.headers.get(REQUEST_ID_HEADER, '')
        record = self._load_tracker.get(message.instance.instance)
        is_call = message.path == RUN_PATH
        if named == identifier:
            if is_call:
                record.returns_identifiers = True
                history.has_identified = True
            return Attribution.identified
        is_name_due = is_call and (
            record.returns_identifiers or history.has_identified
        )
        if named or is_name_due:
            attribution = Attribution.foreign
        else:
            attribution = message.attribute(response.status, body, history)
        if attribution is Attribution.foreign:
            self._report_foreign(message, response, named)
        return attribution

    def _report_foreign(
        self,
        message: StageMessage,
        response: aiohttp.ClientResponse,
        named: str,
    ) -> None:
        self._metrics.count_event('response_foreign')
        log_event(
            'response_foreign',
            step=_STEP,
            peer=message.instance.instance,
            path=message.path,
            status=response.status,
            response_id=named,
        )


def _make_headers(message: StageMessage, identifier: str) -> dict[str, str]:
    headers = {REQUEST_ID_HEADER: identifier}
    if message.body is None:
        return headers
    return {
        **headers,
        'Content-Type': _JSON,
        EXPECT_INSTANCE: message.instance.instance,
    }
