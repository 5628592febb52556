"""Define, merge, check and distribute the operators' configuration."""

from ragworthollow.configuration.deployment import Deployment
from ragworthollow.configuration.engine_model import EngineModel
from ragworthollow.configuration.file_entry import FileEntry
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.organisation import Organisation
from ragworthollow.configuration.pipeline import Pipeline
from ragworthollow.configuration.pool import Pool
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.configuration.stage import Stage, StageKind

__all__ = (
    'Deployment',
    'EngineModel',
    'FileEntry',
    'Manifest',
    'Organisation',
    'Pipeline',
    'Pool',
    'Snapshot',
    'Stage',
    'StageKind',
)
