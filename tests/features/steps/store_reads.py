"""Behave steps for the calls that a gateway makes to the store."""

from behave import given, then, when

from tests.fixtures.gateways import READ_PATHS

_TRANSACTION_PATH = '/api/kv-txn'
_RENEWAL_PREFIX = '/api/kv-keep/'


def _count_polls(stage) -> float:
    registry = stage.get_context().metrics.registry
    name = 'ragworthollow_events_total'
    return registry.get_sample_value(name, {'event': 'store_read'})


@when('the gateway has read the store {count:d} times more')
def wait_for_store_reads(context, count):
    stage = context.gateway_stage
    counts = stage.store.counts
    # Registration must be complete, so that its calls are not counted.
    stage.run(stage.wait_for(lambda: _TRANSACTION_PATH in counts))
    context.counts = dict(counts)
    context.reads_before = stage.count_reads()
    context.polls_before = _count_polls(stage)
    stage.run(stage.wait_for_reads(count))


@then('it made one call for each, and others only to renew its lease')
def check_calls_made(context):
    stage = context.gateway_stage
    called_paths = {
        path
        for path, count in stage.store.counts.items()
        if count > context.counts.get(path, 0)
    }
    other_paths = {
        path for path in called_paths if not path.startswith(_RENEWAL_PREFIX)
    }
    assert other_paths <= set(READ_PATHS), called_paths
    reads = stage.count_reads() - context.reads_before
    # One call may still be waiting for its response.
    assert reads <= _count_polls(stage) - context.polls_before + 1, reads


@given('another process writes bytes that are not text to the store')
def store_binary_value(context):
    context.gateway_stage.store.put_bytes('status/other', bytes((255, 254)))
