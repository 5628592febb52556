"""Track upstream instances and select one for each attempt."""

from ragworthollow.upstreams.answer_time import AnswerTime
from ragworthollow.upstreams.choice import UpstreamWish, choose_upstream
from ragworthollow.upstreams.directory import Directory
from ragworthollow.upstreams.instance_load import InstanceLoad
from ragworthollow.upstreams.load_book import LoadBook
from ragworthollow.upstreams.upstream_instance import UpstreamInstance

__all__ = (
    'AnswerTime',
    'Directory',
    'InstanceLoad',
    'LoadBook',
    'UpstreamInstance',
    'UpstreamWish',
    'choose_upstream',
)
