"""Measure how memory, processor time and messages grow with each size."""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec

from measure.fleet_plan import HOST
from measure.large import Size
from measure.small_fleet import SmallFleet, read_loopback_bytes
from ragworthollow.utils import get_wall_ms, make_identifier

_SIZES = {
    'organisations': (100, 600, 1100),
    'pipelines': (6, 22, 39),
    'instances': (70, 370, 670),
}
_POLLS = 1500
_CHANGES = 12
_IDLE_S = 12
_SETTLE_S = 8
_FLEETS = (6, 12, 24)
_RECORDS = 1500
_IN_FLIGHT = 200
_KIB = 1024


def get_slope(points: list[tuple[float, float]]) -> float:
    """Return the least-squares slope of points."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    products = (
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    return sum(products) / spread


async def with_fleet(
    size: Size,
    work: Callable[[SmallFleet], Awaitable[dict]],
) -> dict:
    fleet = SmallFleet(size)
    try:
        await fleet.start()
        await fleet.add_daemon('entry-own')
        await fleet.add_daemon('sidecar-own', pool='ledger-api')
        await fleet.wait_started()
        await fleet.list_instances()
        await fleet.publish_all()
        return await work(fleet)
    finally:
        await fleet.stop()


async def measure_resident(fleet: SmallFleet) -> dict:
    await asyncio.sleep(2)
    return {
        name: fleet.read_usage(f'{name}-own').resident_mib
        for name in ('entry', 'sidecar')
    }


async def measure_memory() -> dict:
    """Vary one size at a time and fit a line through three points."""
    full = Size()
    report: dict[str, float] = {}
    for field, sizes in _SIZES.items():
        points: dict[str, list] = {'entry': [], 'sidecar': []}
        for count in sizes:
            size = replace(full, **{field: count})
            resident = await with_fleet(size, measure_resident)
            for role, mib in resident.items():
                points[role].append((count, mib * _KIB))
        for role, line in points.items():
            report[f'{role}_kib_per_{field[:-1]}'] = round(get_slope(line), 3)
            report[f'{role}_mib_at_full_size'] = round(line[-1][1] / _KIB, 1)
        print(f'{field}: {points}', file=sys.stderr, flush=True)
    return report


async def measure_messages(fleet: SmallFleet) -> dict:
    """Measure one control message, one change and standing still."""
    await asyncio.sleep(_SETTLE_S)
    report = {}
    names = ('entry-own', 'sidecar-own')
    before = {name: fleet.read_usage(name) for name in names}
    kv_before = await fleet.get_json(fleet.kv_port, '/counts')
    bytes_before = read_loopback_bytes()
    await asyncio.sleep(_IDLE_S)
    for name in names:
        used = fleet.read_usage(name).cpu_s - before[name].cpu_s
        report[f'{name}_idle_core_percent'] = round(100 * used / _IDLE_S, 2)
    kv_after = await fleet.get_json(fleet.kv_port, '/counts')
    report['idle_bytes_per_s_of_two_daemons'] = round(
        (read_loopback_bytes() - bytes_before) / _IDLE_S,
    )
    report['idle_kv_calls_per_s_of_two_daemons'] = {
        path: round((count - kv_before.get(path, 0)) / _IDLE_S, 2)
        for path, count in kv_after.items()
        if path.startswith('/v3')
    }
    report.update(await _measure_poll(fleet))
    report.update(await _measure_change(fleet))
    report.update(await _measure_records(fleet))
    report.update(await _measure_in_flight(fleet))
    return report


async def _measure_poll(fleet: SmallFleet) -> dict:
    """Ask a watcher for something newer than it has, many times."""
    status = await fleet.get_json(fleet.daemons['sidecar-own'], '/status')
    url = (
        f'http://{HOST}:{fleet.daemons["sidecar-own"]}/v1/configuration'
        f'?have={status["generation"]}&wait_ms=0'
    )
    before = fleet.read_usage('sidecar-own')
    bytes_before = read_loopback_bytes()
    for _ in range(_POLLS):
        async with fleet.session.get(url) as response:
            await response.read()
    used = fleet.read_usage('sidecar-own').cpu_s - before.cpu_s
    carried = read_loopback_bytes() - bytes_before
    return {
        'cpu_ms_per_waiting_question': round(1000 * used / _POLLS, 3),
        'bytes_per_waiting_question': round(carried / _POLLS),
    }


async def _measure_change(fleet: SmallFleet) -> dict:
    name = '10-organisations-00000.yaml'
    snapshot = await fleet.get_json(
        fleet.daemons['entry-own'],
        '/v1/configuration?have=0&wait_ms=0',
    )
    files = snapshot['manifest']['files']
    entry = next(one for one in files if one['name'] == name)
    text = snapshot['files_by_sha256'][entry['sha256']]
    sha256 = entry['sha256']
    names = ('entry-own', 'sidecar-own')
    before = {one: fleet.read_usage(one).cpu_s for one in names}
    bytes_before = read_loopback_bytes()
    delays = []
    for number in range(_CHANGES):
        text = f'{text}# {number}\n'
        started = time.monotonic()
        answer = await fleet.publish({name: text}, {name: sha256})
        await fleet.wait_generation(answer['generation'])
        delays.append(time.monotonic() - started)
        snapshot = await fleet.get_json(
            fleet.daemons['entry-own'],
            f'/v1/configuration?have={answer["generation"] - 1}&wait_ms=0',
        )
        sha256 = next(iter(snapshot['files_by_sha256']))
    return {
        'changed_file_bytes': len(text),
        'bytes_per_change_and_daemon': round(
            (read_loopback_bytes() - bytes_before) / _CHANGES / 3,
        ),
        'slowest_change_in_force_s': round(max(delays), 2),
        **{
            f'{one}_cpu_ms_per_change': round(
                1000 * (fleet.read_usage(one).cpu_s - before[one]) / _CHANGES,
                1,
            )
            for one in names
        },
    }


async def _measure_records(fleet: SmallFleet) -> dict:
    """Hand records of two kilobytes over, as a planned stop does."""
    port = fleet.daemons['sidecar-own']
    status = await fleet.get_json(port, '/status')
    before = fleet.read_usage('sidecar-own')
    born_ms = int(get_wall_ms())
    records = [
        {
            'key': f'organisation/pipeline/{make_identifier()}',
            'born_ms': born_ms,
            'state': 'done',
            'request_id': make_identifier(),
            'output': {'subject': 'x' * 100},
            'earlier': {'draft': {'text': 'y' * 1900}},
        }
        for _ in range(_RECORDS)
    ]
    started_cpu = before.cpu_s
    for start in range(0, _RECORDS, 300):
        async with fleet.session.post(
            f'http://{HOST}:{port}/v1/once/records',
            json={
                'instance': 'other',
                'incarnation': status['incarnation'],
                'records': records[start : start + 300],
            },
        ) as response:
            await response.read()
    after = fleet.read_usage('sidecar-own')
    held = (await fleet.get_json(port, '/status'))['details']['records']
    assert held >= _RECORDS, held
    grown = (after.resident_mib - before.resident_mib) * _KIB
    return {
        'sidecar_kib_per_key_record': round(grown / _RECORDS, 2),
        'cpu_ms_per_record_handed_over': round(
            1000 * (after.cpu_s - started_cpu) / _RECORDS,
            3,
        ),
    }


async def _measure_in_flight(fleet: SmallFleet) -> dict:
    """Hold questions open, each as costly as a request that waits."""
    port = fleet.daemons['sidecar-own']
    status = await fleet.get_json(port, '/status')
    before = fleet.read_usage('sidecar-own')
    url = (
        f'http://{HOST}:{port}/v1/configuration'
        f'?have={status["generation"]}&wait_ms=3000'
    )

    async def ask() -> None:
        async with fleet.session.get(url) as response:
            await response.read()

    tasks = [asyncio.ensure_future(ask()) for _ in range(_IN_FLIGHT)]
    await asyncio.sleep(1.5)
    grown = fleet.read_usage('sidecar-own').resident_mib - before.resident_mib
    await asyncio.gather(*tasks)
    return {'kib_per_waiting_question': round(grown * _KIB / _IN_FLIGHT, 1)}


async def measure_growth() -> dict:
    """Count messages for each daemon as one failure domain grows."""
    report = {}
    for count in _FLEETS:
        fleet = SmallFleet(Size(organisations=20, pipelines=3, instances=0))
        try:
            await fleet.start()
            await fleet.add_daemon('entry-own')
            for number in range(count - 1):
                await fleet.add_daemon(f'sidecar-{number}', pool='encoder-pool')
            await fleet.wait_started()
            await fleet.list_instances(with_others=False)
            await fleet.publish_all()
            report[f'daemons_{count}'] = await _count_messages(fleet)
        finally:
            await fleet.stop()
        print(f'{count}: {report}', file=sys.stderr, flush=True)
    return report


async def _count_messages(fleet: SmallFleet) -> dict:
    await asyncio.sleep(_SETTLE_S)
    names = list(fleet.daemons)
    before = {name: await fleet.count_control(name) for name in names}
    kv_before = await fleet.get_json(fleet.kv_port, '/counts')
    bytes_before = read_loopback_bytes()
    await asyncio.sleep(_IDLE_S)
    carried = read_loopback_bytes() - bytes_before
    kv_after = await fleet.get_json(fleet.kv_port, '/counts')
    rates = [
        (await fleet.count_control(name) - before[name]) / _IDLE_S
        for name in names
    ]
    calls = sum(
        count - kv_before.get(path, 0)
        for path, count in kv_after.items()
        if path.startswith('/v3')
    )
    return {
        'most_control_messages_per_s': round(max(rates), 2),
        'mean_control_messages_per_s': round(sum(rates) / len(rates), 2),
        'kv_calls_per_s': round(calls / _IDLE_S, 2),
        'waiting_watches': kv_after['waiting_watches'],
        'bytes_per_s_and_daemon': round(carried / _IDLE_S / len(names)),
    }


async def main() -> None:
    wanted = sys.argv[1:] or ('memory', 'messages', 'growth')
    report = {}
    if 'memory' in wanted:
        report['memory'] = await measure_memory()
    if 'messages' in wanted:
        report['messages'] = await with_fleet(Size(), measure_messages)
    if 'growth' in wanted:
        report['growth'] = await measure_growth()
    print(msgspec.json.format(msgspec.json.encode(report), indent=1).decode())


if __name__ == '__main__':
    asyncio.run(main())
