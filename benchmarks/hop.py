"""Latency that the mesh adds to a request on real sockets: at the endpoint's own sidecar, and over a hop.

    PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.hop 2000

Client, endpoint, both sidecars and the control process share one process and one event loop, so that each figure is the
sum of all their times. A client keeps one connection and sends one request after another.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import time

from mesh.cluster import Mesh, read_message, run


async def measure_latencies(address: str, count: int) -> list[float]:
    """Sends ``count`` requests and returns the latency of each, in ms."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    latencies = []
    for n in range(count):
        started = time.perf_counter()
        writer.write(
            f"GET /one/safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {port}-{n}\r\n"
            f"X-Deadline-Ms: 2000\r\n\r\n".encode()
        )
        await read_message(reader)
        latencies.append(1000.0 * (time.perf_counter() - started))
    writer.close()
    return latencies


async def measure(count: int) -> None:
    """Prints the latencies of ``count`` requests on each path."""
    async with Mesh(["one", "two"]) as m:
        await m.bring_up()
        addresses = {
            "the endpoint alone": m.stub_endpoints[0].address,
            "beside the endpoint": f"{m.ips[0]}:{m.port + 2}",
            "over a hop": f"{m.ips[1]}:{m.port + 2}",
        }
        for name, address in addresses.items():
            await measure_latencies(address, 50)
            latencies = sorted(await measure_latencies(address, count))
            print(f"{name}: p50 {statistics.median(latencies):.2f} ms, p99 {latencies[int(0.99 * count)]:.2f} ms")


if __name__ == "__main__":
    run(lambda: measure(int(sys.argv[1])))
