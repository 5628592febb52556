"""Place models on the engines of a pool."""

from collections.abc import Iterable

from ragworthollow.configuration.deployment import Deployment
from ragworthollow.utils.hashing import get_rank


def get_carriers(
    deployment: Deployment,
    model: str,
    instances: Iterable[str],
) -> list[str]:
    """
    Return the engines that are to carry a model.

    Every process computes the same from the configuration in force and the
    instance list, so that no leader is needed; when an engine comes or goes
    only the models ranked there move.

    Parameters
    ----------
    deployment : Deployment
        Configuration in force.
    model : str
        Name of the model.
    instances : iterable of str
        Engines of one pool.

    Returns
    -------
    list of str
        As many as the model has replicas, all when that is 0.
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


def get_wanted(
    deployment: Deployment,
    pool: str,
    instance: str,
    instances: Iterable[str],
) -> dict[str, str]:
    """
    Return the models that one engine is to carry.

    Parameters
    ----------
    deployment : Deployment
        Configuration in force.
    pool : str
        Pool of the engine.
    instance : str
        The engine's instance.
    instances : iterable of str
        All engines of the pool, itself included.

    Returns
    -------
    dict
        Version by model.
    """
    declared = deployment.pools.get(pool)
    known = set(instances) | {instance}
    if declared is None:
        return {}
    return {
        model: deployment.models[model].version
        for model in declared.models
        if instance in get_carriers(deployment, model, known)
    }
