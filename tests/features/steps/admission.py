"""Behave steps for the admission queue."""

import heapq
import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Ok

from ragworthollow.admission import AdmissionQueue, CapacityShare, Ticket
from ragworthollow.admission.estimate import get_retry_after_ms

_SERVICE_MS = 50
_CAPACITY = 8
_DEADLINE_MS = 600


def _make_queue() -> AdmissionQueue:
    queue = AdmissionQueue(capacity=_CAPACITY, service_ms=_SERVICE_MS)
    # The weights differ ninefold, so that only the guarantee can protect the
    # organisation with the smaller weight.
    queue.shares = {
        'one': CapacityShare(guarantee=0.5, weight=9),
        'two': CapacityShare(guarantee=0.5, weight=1),
    }
    return queue


def _simulate(queue, rates, span_ms, start_ms=0):
    """Simulate organisations whose calls arrive at random intervals.

    Returns
    -------
    The number of calls sent, the number of calls finished, and the service
    time of all started calls in ms, each by organisation.
    """
    rng = random.Random(1)
    events = []
    for name, calls_per_s in rates.items():
        time_ms = float(start_ms)
        while calls_per_s and time_ms < start_ms + span_ms:
            time_ms += rng.expovariate(calls_per_s / 1000)
            heapq.heappush(events, (time_ms, rng.random(), 'come', name))
    sent, finished, busy_ms = Counter(), Counter(), Counter()
    number = 0
    while events:
        time_ms, _, event, subject = heapq.heappop(events)
        if event == 'come':
            number += 1
            sent[subject] += 1
            ticket = Ticket(
                ticket_id=number,
                organisation=subject,
                deadline_ms=time_ms + _DEADLINE_MS,
                cost_ms=_SERVICE_MS,
            )
            queue.enqueue(ticket, time_ms)
        else:
            queue.release(subject, _SERVICE_MS, time_ms)
            finished[subject.organisation] += 1
        for ticket in queue.dispatch(time_ms).started:
            busy_ms[ticket.organisation] += _SERVICE_MS
            end_ms = time_ms + _SERVICE_MS
            heapq.heappush(events, (end_ms, rng.random(), 'end', ticket))
    return sent, finished, busy_ms


@when('any calls arrive and end in any order')
def run_calls_in_any_order(context):
    call = st.tuples(
        st.sampled_from('abc'),
        st.integers(0, 400),
        st.floats(0.1, 10),
        st.booleans(),
    )

    @for_all(st.lists(call, max_size=60))
    @settings(derandomize=True, database=None, deadline=None)
    def check(calls):
        queue = AdmissionQueue(capacity=3, limit=10, service_ms=20)
        state = {}
        running = []
        for number, (organisation, slack, worth, is_ended) in enumerate(calls):
            now = number * 5.0
            ticket = Ticket(
                ticket_id=number,
                organisation=organisation,
                deadline_ms=now + slack,
                worth=worth,
                cost_ms=20,
            )
            offered = queue.enqueue(ticket, now)
            if isinstance(offered, Ok):
                state[number] = 'waiting'
                for gone in offered.ok_value.evicted:
                    assert state[gone.ticket_id] == 'waiting'
                    state[gone.ticket_id] = 'evicted'
            if is_ended and running:
                queue.release(running.pop(), 20, now)
            turn = queue.dispatch(now)
            for late in turn.expired:
                assert state[late.ticket_id] == 'waiting'
                state[late.ticket_id] = 'expired'
            for started in turn.started:
                assert state[started.ticket_id] == 'waiting'
                state[started.ticket_id] = 'running'
                running.append(started)
            assert queue.running == len(running) <= 3
            waiting = sum(one == 'waiting' for one in state.values())
            assert queue.waiting == waiting <= 10
        context.checked = True

    check()


@then('none is lost, none runs twice and no slot is overbooked')
def check_invariants(context):
    assert context.checked


@given('two organisations of equal guarantee')
def make_two_organisations(context):
    context.queue = _make_queue()


_FULL_RATE = _CAPACITY * 1000 / _SERVICE_MS


@when('one sends ten times its share and the other half of its share')
def overload_queue(context):
    context.sent, context.done, _ = _simulate(
        context.queue,
        {'one': 5 * _FULL_RATE, 'two': 0.25 * _FULL_RATE},
        10_000,
    )


@then('the other loses less than 2 in 100 of its calls')
def check_few_lost(context):
    share = context.done['two'] / context.sent['two']
    assert share > 0.98, share


@when('one sends twice its share while the other is idle')
def send_from_single_organisation(context):
    busy_ms = _simulate(context.queue, {'one': 1.2 * _FULL_RATE}, 5000)[-1]
    context.share = busy_ms['one'] / (5000 * _CAPACITY)


@then('it uses more than nine tenths of the upstream')
def check_spare_capacity_used(context):
    assert context.share > 0.9, context.share


@when('the other sends its full share again')
def send_from_both_organisations(context):
    context.busy = _simulate(
        context.queue,
        {'one': 1.2 * _FULL_RATE, 'two': 0.5 * _FULL_RATE},
        1000,
        start_ms=6000,
    )[-1]


@then('the other gets its share within a second')
def check_share_regained(context):
    share = context.busy['two'] / (1000 * _CAPACITY)
    assert share > 0.45, share


@given('a full queue of calls of little worth')
def fill_queue(context):
    context.queue = AdmissionQueue(capacity=1, service_ms=100)
    for number in range(5):
        ticket = Ticket(
            ticket_id=number,
            organisation='one',
            deadline_ms=900,
            cost_ms=100,
        )
        assert isinstance(context.queue.enqueue(ticket, 0), Ok)
    context.queue.dispatch(0)


def _enqueue(context, *, deadline_ms, worth):
    ticket = Ticket(
        ticket_id=99,
        organisation='two',
        deadline_ms=deadline_ms,
        worth=worth,
        cost_ms=100,
    )
    return context.queue.enqueue(ticket, 0)


@when('a call of great worth arrives that would come too late')
def enqueue_worthy(context):
    context.enqueued = _enqueue(context, deadline_ms=380, worth=10)


@then('calls of little worth are evicted for it')
def check_evicted(context):
    assert isinstance(context.enqueued, Ok), context.enqueued
    assert context.enqueued.ok_value.evicted


@given('a queue of calls of little worth, all within their guarantee')
def fill_queue_within_guarantee(context):
    fill_queue(context)
    context.queue.shares = {'one': CapacityShare(guarantee=1)}


@then('none of them is evicted')
def check_none_evicted(context):
    waiting = context.queue.waiting
    assert context.enqueued.is_err(), context.enqueued
    assert waiting == 4, waiting


@when('a call arrives whose deadline is closer than the wait')
def enqueue_late(context):
    context.enqueued = _enqueue(context, deadline_ms=300, worth=1)


@then('it is refused as overloaded and given a time to retry')
def check_overloaded(context):
    rejection = context.enqueued.err_value
    assert rejection.reason == 'overloaded', rejection
    assert get_retry_after_ms(rejection.wait_ms) > 0
