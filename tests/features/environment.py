"""Set up what the tests share."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from behave.fixture import use_fixture_by_tag  # noqa: E402

from tests.fixtures.registry import FIXTURES  # noqa: E402

_EACH = 'each.'


def before_tag(context, tag):
    if tag.startswith('fixture.'):
        use_fixture_by_tag(tag, context, FIXTURES)


def before_scenario(context, scenario):
    """Set up what every scenario of a feature has for itself."""
    for tag in scenario.effective_tags:
        if tag.startswith(_EACH):
            name = tag.removeprefix(_EACH)
            use_fixture_by_tag(f'fixture.{name}', context, FIXTURES)
