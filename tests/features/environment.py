"""Set up what the tests share."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from behave.fixture import use_fixture_by_tag  # noqa: E402

from tests.fixtures.registry import FIXTURES  # noqa: E402


def before_tag(context, tag):
    if tag.startswith('fixture.'):
        use_fixture_by_tag(tag, context, FIXTURES)
