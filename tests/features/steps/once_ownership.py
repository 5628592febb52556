"""Steps of the ownership protocol."""

from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from ragworthollow.once.assignment import get_range
from ragworthollow.once.ownership import OwnershipStatus
from tests.fixtures.ownership_model import Model, make_state_machine


@given('the protocol with all its guards')
def use_all_guards(context):
    context.guards = {}


@given('the protocol without {guard}')
def disable_guard(context, guard):
    context.guards = {guard: False}


@when('{count:d} random orders of events are explored')
def explore_event_orders(context, count):
    context.repeated_keys = []
    try:
        run_state_machine_as_test(
            make_state_machine(**context.guards),
            settings=settings(
                max_examples=count,
                stateful_step_count=60,
                derandomize=True,
                database=None,
                deadline=None,
                suppress_health_check=list(HealthCheck),
                phases=(Phase.generate,),
            ),
        )
    except AssertionError as error:
        context.repeated_keys = [str(error)]


@when('an owner loses the platform for long')
def disconnect_owner(context):
    model = Model(**context.guards)
    model.sidecars[0].cut = True
    for _ in range(20):
        model.run_for(500)
        model.now_ms += 300
        _send_new_keys(model, skew_ms=1900)
    context.repeated_keys = model.get_doubled()


@when('a peer restarts while an owner is cut')
def restart_peer_of_disconnected_owner(context):
    model = Model(**context.guards)
    model.sidecars[0].cut = True
    model.run_for(4000)
    model.sidecars[2].restart()
    for _ in range(4):
        model.step(2)
    model.now_ms += 1000
    _send_new_keys(model, skew_ms=1900)
    context.repeated_keys = model.get_doubled()


@when('the owner of a key is killed')
def kill_owner(context):
    model = Model(**context.guards)
    _send_new_keys(model, skew_ms=0)
    model.sidecars[1].restart()
    model.run_for(6000)
    for key in model.births:
        model.ask_everywhere(key)
    context.repeated_keys = model.get_doubled()


@when('an owner freezes between its decision and the hand-over')
def freeze_owner(context):
    model = Model(**context.guards)
    model.births['key'] = model.now_ms
    owner = next(
        index
        for index in range(3)
        if model.send(index, 'key') is OwnershipStatus.owner
    )
    model.sidecars[owner].paused = True
    model.run_for(12_000)
    delayed_call = model.pending_calls.pop()
    model.ask_everywhere('key')
    model.sidecars[owner].paused = False
    model.pending_calls.append(delayed_call)
    model.hand_over()
    model.run_for(6000)
    model.ask_everywhere('key')
    context.repeated_keys = model.get_doubled()
    assert model.effects == {'key': 1}, model.effects


@given('an owner whose handover is still in transit')
def delay_handover(context):
    model = Model()
    model.sidecars[2].paused = True
    model.run_for(12_000)
    model.sidecars[2].paused = False
    for _ in range(3):
        model.step(2)
    context.model = model
    context.owner = next(
        index for index in range(3) if _start_move(model, index)
    )


def _start_move(model, index):
    """
    Run one step of a sidecar, with its write held back as if in transit.

    Returns whether the sidecar has begun to move ranges to the peer that has
    rejoined.
    """
    model.step(index, delayed=True)
    return bool(model.delayed_writes and model.sidecars[index].ownership.moving)


@when('the owner is asked for keys of these ranges')
def send_moving_keys(context):
    model = context.model
    moving = model.sidecars[context.owner].ownership.moving
    context.ownership_statuses = _send_keys_of_ranges(
        model, context.owner, moving
    )


@then('it refuses them until the record has changed')
def check_refused(context):
    assert set(context.ownership_statuses) == {OwnershipStatus.not_owner}, (
        context.ownership_statuses
    )
    model = context.model
    owner = model.sidecars[context.owner]
    model.deliver()
    owner.read(model.platform)
    assert not owner.ownership.moving


@then('no key has run twice')
def check_no_repeated_key(context):
    assert not context.repeated_keys, context.repeated_keys


@then('a key has run twice')
def check_repeated_key(context):
    assert context.repeated_keys, 'the exploration is blind'


@given('members that know different records')
def make_members_differ(context):
    model = Model()
    model.sidecars[2].paused = True
    model.run_for(12_000)
    model.sidecars[2].paused = False
    model.sidecars[0].cut = True
    for _ in range(3):
        model.step(2)
    context.model = model
    epochs = {sidecar.ownership.assignment.epoch for sidecar in model.sidecars}
    assert len(epochs) > 1, epochs


@when('the platform is unavailable for long')
def disconnect_all(context):
    for sidecar in context.model.sidecars:
        sidecar.cut = True
    context.model.run_for(15_000)


@then('each member is still sure that it owns its keys')
def check_members_certain(context):
    model = context.model
    for sidecar in model.sidecars:
        if sidecar.ownership.owns_any():
            assert sidecar.ownership.is_certain(model.now_ms), sidecar.name


def _send_new_keys(model, *, skew_ms):
    for number in range(40):
        key = f'key-{model.now_ms}-{number}'
        model.births[key] = model.now_ms + skew_ms
        model.ask_everywhere(key)


def _send_keys_of_ranges(model, index, moving):
    statuses = []
    number = 0
    while len(statuses) < 5:
        number += 1
        key = f'moving-{number}'
        model.births[key] = model.now_ms
        if get_range(key) in moving:
            statuses.append(model.send(index, key))
    return statuses
