"""Closing of the addresses that a sidecar listens on, at its exit."""

from __future__ import annotations

import asyncio
import socket
import unittest

from mesh.cluster import Mesh, read_message, run
from zinclever.http1.heads import HttpResponse
from zinclever.mesh.control_api.listener import Call

CLIENTS = 3
REQUEST = b"GET /one/safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r%d\r\nX-Deadline-Ms: 2000\r\n\r\n"
GRACE = 1.0  # s
POLL_INTERVAL = 0.005  # s


async def read_status(connection: socket.socket) -> str:
    connection.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=connection)
    start, _, _ = await read_message(reader)
    writer.close()
    return start.split()[1]


class Closing(unittest.TestCase):
    # Guards against requests that are reset unread at the exit, as their connections were not accepted yet (#59).
    def test_established_connections_are_accepted(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as mesh:
                await mesh.bring_up()
                address = (mesh.ips[0], mesh.port + 2)
                clients = [socket.create_connection(address) for _ in range(CLIENTS)]
                for number, client in enumerate(clients):
                    client.sendall(REQUEST % number)  # the event loop has not run since the connection was made
                for listener in mesh.sidecars[0].listeners:
                    await listener.close()
                with self.assertRaises(ConnectionRefusedError):
                    socket.create_connection(address)
                self.assertEqual([await read_status(client) for client in clients], ["200"] * CLIENTS)

        run(test)

    # Guards against clients that are connected, and whose request is lost as it arrives at the exit (#59).
    def test_clients_that_are_connected_may_send_a_last_request(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as mesh:
                await mesh.bring_up()
                sidecar = mesh.sidecars[0]
                client = socket.create_connection((mesh.ips[0], mesh.port + 2))
                stop = asyncio.ensure_future(sidecar.stop(GRACE))
                while sidecar.listeners[0].server.is_serving():
                    await asyncio.sleep(POLL_INTERVAL)
                client.sendall(REQUEST % 0)
                self.assertEqual(await read_status(client), "503")
                await stop

        run(test)

    # Guards against calls that a control node has read, and closes without an answer at its exit (#74).
    def test_calls_of_a_terminating_control_node_are_answered(self) -> None:
        async def never(call: Call) -> HttpResponse:
            await asyncio.Event().wait()
            raise AssertionError

        async def test() -> None:
            async with Mesh(["one"]) as mesh:
                await mesh.bring_up()
                assert mesh.control.control_api is not None and mesh.control.listener is not None
                mesh.control.control_api.router.add("GET /never", never)
                address = f"{mesh.control_ip}:{mesh.port + 2}"
                open_call = asyncio.ensure_future(mesh.call(address, "GET", "/never"))
                late_caller = socket.create_connection((mesh.control_ip, mesh.port + 2))
                while not mesh.control.control_api.tasks:
                    await asyncio.sleep(POLL_INTERVAL)
                stop = asyncio.ensure_future(mesh.control.stop(GRACE))
                while mesh.control.listener.server.is_serving():
                    await asyncio.sleep(POLL_INTERVAL)
                late_caller.sendall(b"GET /v1/config/read HTTP/1.1\r\nHost: a\r\n\r\n")
                self.assertEqual(await read_status(late_caller), "503")
                self.assertEqual((await open_call)[0], 503)
                await stop

        run(test)


if __name__ == "__main__":
    unittest.main()
