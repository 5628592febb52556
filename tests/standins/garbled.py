"""Build answers of a faulty engine, each from one seed."""

import random

_BODY = b'the whole answer'
_JUNK = (
    b'',
    b'\r\n\r\n',
    b'HTTP/1.1 200 OK\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'0\r\n\r\n',
    b'\xff\x00\xfe',
    b'[' * 3000,
    b'{"items":[]}',
    b': comment\n\n',
    b'id: 7\ndata: x\n\n',
    b'Content-Length: 3\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Content-Encoding: gzip\r\n',
    b'Content-Type: \xff; charset=\x7f\r\n',
    b'Retry-After: nan\r\n',
    b'X-Ragworthollow-Server-Load: -1,,9e9\r\n',
    b'Set-Cookie: \x00\r\n',
    b'9' * 5000,
    b'1' + b'0' * 400,
    b'Store-Era: ' + b'9' * 5000 + b'\r\n',
    b'1e999',
    b'Connection: close\r\n',
    b'A' * 9000,
)
_STATUSES = (200, 204, 206, 304, 400, 409, 421, 429, 500, 503, 599, 999)
_ITEMS = (b'{"handle":"%s/a"}', b'{"reason":"gone"}', b'{"reason":7}', b'[]')


def make_answer(
    *,
    rng: random.Random,
    headers: dict[str, str],
    address: str,
    bodies: tuple[bytes, ...] = (),
) -> tuple[bytes, bool]:
    """
    Make a sound or garbled answer.

    Parameters
    ----------
    rng : Random
        Decides what is wrong with the answer.
    headers : dict of str to str
        Headers of a sound answer.
    address : str
        Address of the engine.
    bodies : tuple of bytes
        Sound bodies, in place of those of engines.

    Returns
    -------
    tuple
        The bytes to send, and whether the connection stays open.
    """
    status = rng.choice((200, *_STATUSES))
    fields = [f'{name}: {text}\r\n'.encode() for name, text in headers.items()]
    if rng.random() < 0.2:
        rng.shuffle(fields)
        fields = fields[rng.randrange(len(fields) + 1) :]
    if rng.random() < 0.2:
        fields.append(b'X-Ragworthollow-Not-Executed: 1\r\n')
    body = rng.choice(
        bodies or (_BODY, _make_items(rng, address), _make_events(rng))
    )
    framing, body = _frame(rng, body)
    answer = b'HTTP/1.1 %d Status\r\n' % status + b''.join(
        [*fields, framing, b'\r\n', body]
    )
    for _ in range(rng.choice((0, 0, 1, 2))):
        start = rng.randrange(len(answer) + 1)
        end = start + rng.choice((0, 0, 1, 5))
        answer = answer[:start] + rng.choice(_JUNK) + answer[end:]
    if rng.random() < 0.2:
        answer = answer[: rng.randrange(len(answer) + 1)]
    return answer, rng.random() < 0.5


def _make_items(rng: random.Random, address: str) -> bytes:
    items = [rng.choice(_ITEMS) for _ in range(rng.randrange(4))]
    joined = b','.join(items).replace(b'%s', address.encode())
    return b'{"items":[' + joined + b']}'


def _make_events(rng: random.Random) -> bytes:
    newline = rng.choice((b'\n', b'\r\n', b'\r'))
    return b''.join(
        b'id: %d%sdata: x%s%s' % (number, newline, newline, newline)
        for number in range(1, rng.randrange(5))
    )


def _frame(rng: random.Random, body: bytes) -> tuple[bytes, bytes]:
    kind = rng.randrange(3)
    if kind == 0:
        return b'Content-Length: %d\r\n' % len(body), body
    if kind == 1:
        return b'', body
    chunk = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
    return b'Transfer-Encoding: chunked\r\n', chunk + b'0\r\n\r\n'
