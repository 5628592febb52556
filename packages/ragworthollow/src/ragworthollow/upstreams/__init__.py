"""Track upstream instances and select one for each attempt."""

from ragworthollow.upstreams.choice import UpstreamCriteria, choose_upstream
from ragworthollow.upstreams.directory import Directory
from ragworthollow.upstreams.event_numbering import EventNumbering
from ragworthollow.upstreams.event_numberings import EventNumberings
from ragworthollow.upstreams.first_event_latency import FirstEventLatency
from ragworthollow.upstreams.instance_load import InstanceLoad
from ragworthollow.upstreams.load_tracker import LoadTracker
from ragworthollow.upstreams.pool_numberings import PoolNumberings
from ragworthollow.upstreams.pool_versions import PoolVersions
from ragworthollow.upstreams.stream_origin import StreamOrigin
from ragworthollow.upstreams.stream_segment import StreamSegment
from ragworthollow.upstreams.stream_versions import StreamVersions
from ragworthollow.upstreams.upstream_instance import UpstreamInstance
from ragworthollow.upstreams.version_registry import VersionRegistry

__all__ = (
    'Directory',
    'EventNumbering',
    'EventNumberings',
    'FirstEventLatency',
    'InstanceLoad',
    'LoadTracker',
    'PoolNumberings',
    'PoolVersions',
    'StreamOrigin',
    'StreamSegment',
    'StreamVersions',
    'UpstreamCriteria',
    'UpstreamInstance',
    'VersionRegistry',
    'choose_upstream',
)
