"""Exchange reports on engines with the host that collects them."""

from collections.abc import Mapping

from ragworthollow.balancing import EngineReport
from ragworthollow.balancing.engine_reports import (
    limit_engines,
    take_most_loaded,
)
from ragworthollow.conf import global_settings
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

# Subject by which the host that collects the reports is ranked.
ENGINE_REPORTS = 'engine-reports'


def make_engine_reports(context: GatewayContext) -> dict[str, EngineReport]:
    """Return this gateway's reports on the engines that it uses most."""
    table = context.route_table
    view = context.engine_view
    if table is None or not view.has_work_times():
        return {}
    engines = [
        instance
        for pool in table.pools.values()
        if pool.is_engine
        for instance in context.directory.get_pool(pool.name)
    ]
    return take_most_loaded(
        view.refresh(engines, get_monotonic_ms()),
        limit_engines(context.members),
    )


def exchange_engine_reports(
    context: GatewayContext,
    gateway: str,
    reports: Mapping[str, EngineReport] | None,
) -> dict[str, EngineReport] | None:
    """
    Record the reports of a gateway and return those of all others.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway, which collects the reports.
    gateway : str
        The gateway that reports.
    reports : mapping of str to EngineReport or None
        Its reports by incarnation; None if it does not ask for any.
    """
    if reports is None:
        return None
    now_ms = get_monotonic_ms()
    own = context.settings.instance
    context.engine_view.collected.record(gateway, reports, now_ms)
    context.engine_view.collected.record(
        own, make_engine_reports(context), now_ms
    )
    return context.engine_view.collected.merge_others(
        gateway, now_ms, limit_engines(context.members)
    )


def apply_own_reports(context: GatewayContext) -> None:
    """Use the reports that this gateway collects itself."""
    if not context.engine_view.has_work_times():
        return
    make_engine_reports(context)
    now_ms = get_monotonic_ms()
    others = context.engine_view.collected.merge_others(
        context.settings.instance,
        now_ms,
        global_settings.MAX_COLLECTED_ENGINES,
    )
    context.engine_view.record_others(others, now_ms)
