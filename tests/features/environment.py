"""Set up the fixtures of the feature tests."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from behave.fixture import use_fixture, use_fixture_by_tag  # noqa: E402

from tests.fixtures.log_lines import keep_last_log_lines  # noqa: E402
from tests.fixtures.registry import FIXTURES  # noqa: E402

_SCENARIO_TAG_PREFIX = 'each.'


def before_tag(context, tag):
    if tag.startswith('fixture.'):
        use_fixture_by_tag(tag, context, FIXTURES)


def before_scenario(context, scenario):
    """Set up the fixtures that are created anew for each scenario."""
    context.last_log_lines = use_fixture(keep_last_log_lines, context)
    for tag in scenario.effective_tags:
        if tag.startswith(_SCENARIO_TAG_PREFIX):
            name = tag.removeprefix(_SCENARIO_TAG_PREFIX)
            use_fixture_by_tag(f'fixture.{name}', context, FIXTURES)


def after_scenario(context, scenario):
    """Print what the code under test has logged before a failure."""
    if scenario.status.has_failed():
        print(f'log of {scenario.location} {scenario.name}')
        for event, fields in context.last_log_lines:
            print(event, fields)
