"""Steps of what a gateway reads from the store."""

from behave import given, then, when

_RANGE = '/api/kv-range'
_TXN = '/api/kv-txn'
_RENEWAL = '/api/kv-keep/'


@when('the gateway has read the store {count:d} times more')
def read_store(context, count):
    stage = context.gateway_stage
    counts = stage.store.counts
    # The registration is over before what follows is counted.
    stage.run(stage.wait_for(lambda: _TXN in counts))
    context.counts = dict(counts)
    stage.run(
        stage.wait_for(
            lambda: counts[_RANGE] >= context.counts[_RANGE] + count,
        ),
    )


@then('it made no other call but to renew its lease')
def check_calls_made(context):
    made = {
        path
        for path, count in context.gateway_stage.store.counts.items()
        if count > context.counts.get(path, 0)
    }
    others = {path for path in made if not path.startswith(_RENEWAL)}
    assert others == {_RANGE}, made


@given('another process keeps bytes that are no text in the store')
def keep_bytes(context):
    context.gateway_stage.store.put_bytes('status/other', bytes((255, 254)))
