"""Define the merged configuration of one deployment."""

from ragworthollow.configuration.engine_model import EngineModel
from ragworthollow.configuration.organisation import Organisation
from ragworthollow.configuration.pipeline import Pipeline
from ragworthollow.configuration.pool import Pool
from ragworthollow.utils.message import StrictMessage


class Deployment(StrictMessage):
    """
    Hold the declarations of the operators.

    Each configuration file holds a part of them; merging all files gives the
    full deployment.

    Attributes
    ----------
    owner : str
        Operator who owns the file; empty in the merged deployment.
    allow_override : tuple of str
        Dotted paths that later files of other owners may override.
    organisations, pipelines, pools, models : dict
        Declarations by name.
    """

    owner: str = ''
    allow_override: tuple[str, ...] = ()
    organisations: dict[str, Organisation] = {}
    pipelines: dict[str, Pipeline] = {}
    pools: dict[str, Pool] = {}
    models: dict[str, EngineModel] = {}

    def get_non_repeatable_pools(self) -> set[str]:
        """Return the pools that serve at least one non-repeatable stage."""
        return {
            stage.pool
            for pipeline in self.pipelines.values()
            for stage in pipeline.stages
            if not stage.repeatable
        }
