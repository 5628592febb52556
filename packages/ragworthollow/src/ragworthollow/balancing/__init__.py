"""Balance requests among engines of uneven speed."""

from ragworthollow.balancing.choice import (
    ChoiceReason,
    EngineChoice,
    EngineCriteria,
    are_uneven,
    choose_engine,
    nominate_engines,
)
from ragworthollow.balancing.engine_report import EngineReport
from ragworthollow.balancing.engine_reports import EngineReports
from ragworthollow.balancing.engine_state import EngineState
from ragworthollow.balancing.engine_view import EngineView
from ragworthollow.balancing.work_times import WorkTimes

__all__ = (
    'ChoiceReason',
    'EngineChoice',
    'EngineCriteria',
    'EngineReport',
    'EngineReports',
    'EngineState',
    'EngineView',
    'WorkTimes',
    'are_uneven',
    'choose_engine',
    'nominate_engines',
)
