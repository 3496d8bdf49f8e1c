"""What the mesh adds to a request on real sockets of one machine: beside its endpoint, and over a hop.

    PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.hop 2000

Client, endpoint, both sidecars and the core share one process and one loop, so that a figure here is the sum of what
each of them takes; a client keeps one connection and asks one request after another.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import time

from mesh.cluster import Mesh, read_message, run


async def ask(address: str, count: int) -> list[float]:
    """ms of each of so many requests."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    spans = []
    for n in range(count):
        began = time.perf_counter()
        writer.write(
            f"GET /one/safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {port}-{n}\r\n"
            f"X-Deadline-Ms: 2000\r\n\r\n".encode()
        )
        await read_message(reader)
        spans.append(1000.0 * (time.perf_counter() - began))
    writer.close()
    return spans


async def measure(count: int) -> None:
    async with Mesh(["one", "two"]) as m:
        await m.bring_up()
        ways = {
            "the endpoint alone": m.stub_endpoints[0].address,
            "beside the endpoint": f"{m.ips[0]}:{m.port + 2}",
            "over a hop": f"{m.ips[1]}:{m.port + 2}",
        }
        for name, address in ways.items():
            await ask(address, 50)
            spans = sorted(await ask(address, count))
            print(f"{name}: p50 {statistics.median(spans):.2f} ms, p99 {spans[int(0.99 * count)]:.2f} ms")


if __name__ == "__main__":
    run(lambda: measure(int(sys.argv[1])))
