"""Define the merged configuration of one deployment."""

from ragworthollow.configuration.engine_model import EngineModel
from ragworthollow.configuration.organisation import Organisation
from ragworthollow.configuration.pipeline import Pipeline
from ragworthollow.configuration.pool import Pool
from ragworthollow.utils.message import StrictMessage


class Deployment(StrictMessage):
    """
    Hold everything that operators declare.

    One configuration file holds a part of it, the merge of all files the
    whole.

    Attributes
    ----------
    owner : str
        Operator who owns the file; empty in the merged whole.
    allow_override : tuple of str
        Dotted paths that later files of other owners may set.
    organisations, pipelines, pools, models : dict
        Declarations by name.
    """

    owner: str = ''
    allow_override: tuple[str, ...] = ()
    organisations: dict[str, Organisation] = {}
    pipelines: dict[str, Pipeline] = {}
    pools: dict[str, Pool] = {}
    models: dict[str, EngineModel] = {}

    def get_once_pools(self) -> set[str]:
        """Return the pools that serve a non-repeatable stage."""
        return {
            stage.pool
            for pipeline in self.pipelines.values()
            for stage in pipeline.stages
            if not stage.repeatable
        }
