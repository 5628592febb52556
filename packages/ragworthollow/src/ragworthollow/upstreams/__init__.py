"""Track upstream instances and select one for each attempt."""

from ragworthollow.upstreams.choice import UpstreamCriteria, choose_upstream
from ragworthollow.upstreams.directory import Directory
from ragworthollow.upstreams.event_numbering import EventNumbering
from ragworthollow.upstreams.event_numberings import EventNumberings
from ragworthollow.upstreams.first_event_latency import FirstEventLatency
from ragworthollow.upstreams.instance_load import InstanceLoad
from ragworthollow.upstreams.load_tracker import LoadTracker
from ragworthollow.upstreams.stream_origin import StreamOrigin
from ragworthollow.upstreams.stream_versions import StreamVersions
from ragworthollow.upstreams.upstream_instance import UpstreamInstance

__all__ = (
    'Directory',
    'EventNumbering',
    'EventNumberings',
    'FirstEventLatency',
    'InstanceLoad',
    'LoadTracker',
    'StreamOrigin',
    'StreamVersions',
    'UpstreamCriteria',
    'UpstreamInstance',
    'choose_upstream',
)
