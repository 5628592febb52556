"""Assign models to the engines of a pool."""

from collections.abc import Iterable

from ragworthollow.configuration.deployment import Deployment
from ragworthollow.utils.hashing import get_rank


def get_model_engines(
    deployment: Deployment,
    model: str,
    instances: Iterable[str],
) -> list[str]:
    """
    Return the engines that should serve a model.

    Every process derives the same assignment from the active configuration
    and the instance list by rendezvous hashing, so that no leader is needed;
    when an engine joins or leaves, only the models ranked there move.

    Parameters
    ----------
    deployment : Deployment
        Active configuration.
    model : str
        Name of the model.
    instances : iterable of str
        Engines of one pool.

    Returns
    -------
    list of str
        Engines by descending rank: as many as the model has replicas, or
        all when that number is 0 or the model is not declared.
    """
    ranked = sorted(
        instances,
        key=lambda name: get_rank(f'model/{model}', name),
        reverse=True,
    )
    declared = deployment.models.get(model)
    if declared is None or not declared.replicas:
        return ranked
    return ranked[: declared.replicas]


def get_assigned_models(
    deployment: Deployment,
    pool: str,
    instance: str,
    instances: Iterable[str],
) -> dict[str, str]:
    """
    Return the models that one engine should serve.

    Parameters
    ----------
    deployment : Deployment
        Active configuration.
    pool : str
        Pool of the engine.
    instance : str
        Instance name of the engine.
    instances : iterable of str
        Engines of the pool; the engine itself is added if it is missing.

    Returns
    -------
    dict
        Version by model; empty when the pool is not declared.
    """
    declared = deployment.pools.get(pool)
    pool_instances = set(instances) | {instance}
    if declared is None:
        return {}
    return {
        model: deployment.models[model].version
        for model in declared.models
        if instance in get_model_engines(deployment, model, pool_instances)
    }
