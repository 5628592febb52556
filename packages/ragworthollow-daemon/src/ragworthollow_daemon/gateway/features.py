"""Determine which features of a gateway are on."""

from ragworthollow.conf import GatewaySettings
from ragworthollow.platform.features_wire import Feature, read_features


def find_features(settings: GatewaySettings) -> frozenset[Feature]:
    """
    Return the features that are on, by contract or by explicit setting.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the gateway; an explicit one takes precedence.
    """
    features = read_features(settings.platform_contracts)
    if settings.scarce_result_space is None:
        return features
    if settings.scarce_result_space:
        return features | {Feature.scarce_result_space}
    return features - {Feature.scarce_result_space}


def saves_result_space(settings: GatewaySettings) -> bool:
    """Return whether stage work has to save space for results."""
    return Feature.scarce_result_space in find_features(settings)
