"""Answer any request with a garbled answer."""

import asyncio
import random

from tests.standins.garbled import make_answer

_HOST = '127.0.0.1'


class GarbledServer:
    """
    Serve garbled answers on raw connections.

    Parameters
    ----------
    rng : Random
        Decides what is wrong with each answer.
    headers : dict of str to str
        Headers of a sound answer.
    bodies : tuple of bytes
        Sound bodies, some of which are sent unchanged.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        headers: dict[str, str],
        bodies: tuple[bytes, ...],
    ) -> None:
        self.rng = rng
        self.answers = 0
        self.address = ''
        self._headers = headers
        self._bodies = bodies
        self._server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, _HOST, port)
        self.address = f'{_HOST}:{port}'

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer) -> None:
        try:
            is_open = True
            while is_open:
                await read_request(reader)
                self.answers += 1
                answer, is_open = make_answer(
                    rng=self.rng,
                    headers=self._headers,
                    address=self.address,
                    bodies=self._bodies,
                )
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


async def read_request(reader) -> str:
    """Read a request to its end; return its head."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    for line in head.split('\r\n'):
        name, _, text = line.partition(': ')
        if name.lower() == 'content-length':
            await reader.readexactly(int(text))
    return head
