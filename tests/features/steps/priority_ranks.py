"""Define steps for the ranks of requests."""

import itertools

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from ragworthollow.conf import global_settings
from ragworthollow.routes.priority_ranks import PriorityRanks


def _parse(text: str) -> list[int]:
    return [int(word) for word in text.replace(' and ', ', ').split(', ')]


@given(
    'organisations of priority {organisations} and routes of priority {routes}'
)
def make_ranks(context, organisations, routes):
    context.organisations = _parse(organisations)
    context.routes = _parse(routes)
    context.ranks = PriorityRanks(
        organisations=context.organisations, routes=context.routes
    )


@given('organisations without priority and routes of priority {routes}')
def make_route_ranks(context, routes):
    context.organisations = [None]
    context.routes = _parse(routes)
    context.ranks = PriorityRanks(
        organisations=context.organisations, routes=context.routes
    )


@then('their requests are ranked by route')
def check_routes(context):
    ranks = [
        context.ranks.get(context.organisations[0], route)
        for route in context.routes
    ]
    assert ranks == sorted(set(ranks)), ranks


@then('each request of the first organisation ranks before all of the second')
def check_organisations(context):
    first, second = context.organisations
    assert max(context.ranks.get(first, route) for route in context.routes) < (
        min(context.ranks.get(second, route) for route in context.routes)
    )


@then('any priorities give ranks from 0 to 9 in their order')
def check_any(context):
    priorities = st.integers(min_value=0, max_value=9)

    @for_all(st.sets(priorities, min_size=1), st.sets(priorities, min_size=1))
    def check(organisations, routes):
        ranks = PriorityRanks(organisations=organisations, routes=routes)
        ordered = [
            ranks.get(organisation, route)
            for organisation, route in itertools.product(
                sorted(organisations), sorted(routes)
            )
        ]
        assert ordered == sorted(ordered)
        assert 0 <= ordered[0]
        assert ordered[-1] < global_settings.PRIORITIES

    check()
