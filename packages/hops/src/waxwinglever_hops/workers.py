"""Worker threads of an HTTP server, started when there is work for them."""

import collections
import queue
import threading

import attrs
from cheroot import server as cheroot_server

# An idle worker ends after this time. Requests that come in bursts a few
# seconds apart find their workers still there.
IDLE_S = 5.0
# Name of all worker threads.
TASK = "worker"


@attrs.define(eq=False)
class WorkerPool:
    """Threads that handle the connections with a request to read.

    cheroot's own pool starts all its threads at once and keeps them. A machine
    that runs many daemons has no room for that many threads.

    Attributes:
      server: The server whose connections are handled.
      max: Most threads at a time.
      min: Threads that are kept when there is no work; part of the interface
        that cheroot expects.
      idle_s: Time after which an idle worker ends.
      count: Number of threads.
      idle_workers: Where each idle worker gets its next connection, that of the
        worker that became idle last at the end. Reusing that worker first lets
        the others end.
      backlog: Connections that wait for a worker.
      active: Connections that have a worker. Adding, removing and copying are
        atomic, so they need no lock.
      lock: Guards the fields above.
    """

    server: cheroot_server.HTTPServer
    max: int
    min: int = 0
    idle_s: float = IDLE_S
    count: int = 0
    idle_workers: list[queue.SimpleQueue] = attrs.Factory(list)
    backlog: collections.deque[cheroot_server.HTTPConnection] = attrs.Factory(
        collections.deque
    )
    active: set[cheroot_server.HTTPConnection] = attrs.Factory(set)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def start(self) -> None:
        """Does nothing, as workers are started by `put`."""

    def stop(self, timeout: float | None = None) -> None:
        """Lets idle workers end; those with a request end after it.

        Args:
          timeout: Part of the interface that cheroot expects; not used, as the
            threads don't keep the process alive.
        """
        del timeout
        with self.lock:
            self.max = 0
            idle, self.idle_workers = self.idle_workers, []
        for connections in idle:
            connections.put(None)

    @property
    def idle(self) -> int:
        """Number of idle workers."""
        return len(self.idle_workers)

    @property
    def qsize(self) -> int:
        """Number of connections that wait for a worker."""
        return len(self.backlog)

    def put(self, connection: cheroot_server.HTTPConnection) -> None:
        """Hands a connection to an idle worker, a new one, or the next one."""
        with self.lock:
            if self.idle_workers:
                self.idle_workers.pop().put(connection)
                return
            if self.count >= self.max:
                self.backlog.append(connection)
                return
            self.count += 1
        try:
            threading.Thread(
                target=run_worker,
                args=(self, connection),
                name=TASK,
                daemon=True,
            ).start()
        except RuntimeError:
            # The machine has no room for another thread.
            with self.lock:
                self.count -= 1
                if self.idle_workers:
                    self.idle_workers.pop().put(connection)
                    return
                if self.count:
                    self.backlog.append(connection)
                    return
            connection.close()


def run_worker(
    pool: WorkerPool, connection: cheroot_server.HTTPConnection | None
) -> None:
    """Handles a connection and those that follow, until it has been idle."""
    connections: queue.SimpleQueue = queue.SimpleQueue()
    while connection is not None:
        pool.active.add(connection)
        handle_connection(pool, connection)
        connection = next_connection(pool, connections)


def next_connection(
    pool: WorkerPool, connections: queue.SimpleQueue
) -> cheroot_server.HTTPConnection | None:
    """Waits for the next connection; returns None if the worker must end."""
    with pool.lock:
        if pool.backlog:
            return pool.backlog.popleft()
        if pool.count > pool.max:
            pool.count -= 1
            return None
        pool.idle_workers.append(connections)
    try:
        return connections.get(timeout=pool.idle_s)
    except queue.Empty:
        pass
    with pool.lock:
        if connections in pool.idle_workers:
            pool.idle_workers.remove(connections)
            pool.count -= 1
            return None
    # `put` or `stop` has taken this worker since.
    return connections.get()


def handle_connection(
    pool: WorkerPool,
    connection: cheroot_server.HTTPConnection,
) -> None:
    """Handles the requests that a connection has, then keeps or closes it."""
    server = pool.server
    keep_open = False
    try:
        keep_open = connection.communicate()
    except ConnectionError:
        # The peer has closed the connection.
        pass
    except Exception as error:  # pylint: disable=broad-exception-caught
        server.error_log(f"a request failed: {error!r}", traceback=True)
    finally:
        pool.active.discard(connection)
        if keep_open:
            server.put_conn(connection)
        else:
            connection.close()
