"""Steps that check the stand-in of the store itself."""

from behave import given, then, when

from tests.standins.key_value import KeyValueStandin

_PROCESSES = 200
_TTL_MS = 1_000


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
