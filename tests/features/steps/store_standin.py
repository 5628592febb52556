"""Steps that check the stand-in of the store itself."""

import asyncio

from behave import given, then, when

from tests.standins.key_value import KeyValueStandin

_PROCESSES = 200
_TTL_MS = 1_000
# More iterations of the event loop than a wait takes to end.
_ITERATIONS = 20
_WAIT_S = 0.001
_WATCHES = 10
_LONG_S = 60


@given('a stand-in of the store')
def make_store(context):
    context.store = KeyValueStandin()


@when('many processes are granted a lease and some of these end meanwhile')
def grant_leases(context):
    context.granted = []
    for number in range(_PROCESSES):
        lease = context.store.grant_lease(_TTL_MS)
        context.granted.append(lease)
        if number % 2:
            context.store.leases.pop(lease)


@then('each has been granted a lease of its own')
def check_distinct(context):
    assert len(set(context.granted)) == _PROCESSES, context.granted


@when('watches are cancelled at each moment of their wait')
def cancel_watches(context):
    context.has_written, context.has_woken = asyncio.run(
        _cancel_and_write(context.store)
    )


async def _cancel_and_write(store: KeyValueStandin) -> tuple[bool, bool]:
    for iterations in range(_ITERATIONS):
        watches = [
            asyncio.ensure_future(store.wait_for_change(_WAIT_S))
            for _ in range(_WATCHES)
        ]
        await asyncio.wait(watches, timeout=_WAIT_S)
        await _iterate(iterations)
        for ending in watches:
            ending.cancel()
        await asyncio.gather(*watches, return_exceptions=True)
    watch = asyncio.ensure_future(store.wait_for_change(_LONG_S))
    await _iterate(_ITERATIONS)
    write = asyncio.ensure_future(_write(store))
    await _iterate(_ITERATIONS)
    outcome = (write.done(), watch.done())
    for task in (write, watch):
        task.cancel()
    await asyncio.gather(write, watch, return_exceptions=True)
    return outcome


async def _write(store: KeyValueStandin) -> None:
    store.notify_watchers()


async def _iterate(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


@then('a write still returns and wakes a watch')
def check_write(context):
    assert context.has_written
    assert context.has_woken
