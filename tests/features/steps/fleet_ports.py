"""Steps that check which fleet may use a port."""

import random
import socket

from behave import given, then, when

from measure.fleet_plan import HOST
from measure.ports import Ports

_SEED = 1
_PORTS = 50


def _take(ports: Ports) -> list[int]:
    return [ports.take() for _ in range(_PORTS)]


def _make_ports() -> Ports:
    return Ports(rng=random.Random(_SEED))


def _listen(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen()
    return listener


@when('two fleets reserve ports in the same random order')
def reserve_twice(context):
    context.fleets = [_make_ports(), _make_ports()]
    context.taken = [_take(ports) for ports in context.fleets]


@then('no port is reserved twice')
def check_distinct(context):
    first, second = context.taken
    assert not set(first) & set(second), (first, second)


@given('a process that listens on a reserved port')
def start_process(context):
    context.ports = _make_ports()
    context.port = context.ports.take()
    context.listener = _listen(context.port)


@when('it is killed')
def kill_process(context):
    context.listener.close()


@then('another fleet cannot reserve its port')
def check_reserved(context):
    assert _make_ports().take() != context.port


@then('it can listen there again')
def check_restart(context):
    _listen(context.port).close()


@when('a fleet releases its ports')
def release_ports(context):
    ports = _make_ports()
    context.released = _take(ports)
    ports.release()


@then('another fleet can reserve them')
def check_released(context):
    ports = _make_ports()
    assert _take(ports) == context.released
