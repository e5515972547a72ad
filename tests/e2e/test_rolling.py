"""Rolling replacement of all proxies under load loses and doubles no write."""

import threading

import psycopg

from tests.local_proxies import connect, run_proxies, set_request_id
from tests.reactor_thread import run

CALLERS = 4
REPLACED = 2


class Writer(threading.Thread):
    """A caller that writes through a live proxy and records the acknowledged keys."""

    def __init__(self, number, live):
        super().__init__(daemon=True)
        self.number = number
        self.live = live
        self.stopping = threading.Event()
        self.acknowledged = []
        self.errors = []

    def run(self):
        while not self.stopping.is_set():
            try:
                with connect(self.live[self.number % len(self.live)]) as connection:
                    self.write(connection)
            except (psycopg.errors.AdminShutdown, psycopg.OperationalError) as error:
                # A leaving proxy closes its connections and refuses new ones.
                self.record_error(error)

    def record_error(self, error):
        if error.sqlstate not in (None, "57P01", "57P03"):
            self.errors.append(str(error))

    def write(self, connection):
        while not self.stopping.is_set():
            key = f"{self.number}-{len(self.acknowledged)}"
            set_request_id(connection, key)
            connection.execute("INSERT INTO item VALUES (%s)", (key,))
            self.acknowledged.append(key)


def test_rolling_replacement_loses_and_doubles_no_write():
    with run_proxies(count=2, seats=4) as local:
        with connect(local.proxies[0]) as setup:
            setup.execute("CREATE TABLE item (key text)")
        live = list(local.proxies)
        writers = [Writer(number, live) for number in range(CALLERS)]
        for writer in writers:
            writer.start()
        for number in range(REPLACED):
            added = run(local.start_proxy, 2 + number)
            run(local.wait_ready, [added])
            leaving = live[number]
            live[number] = added
            run(leaving.leave)
            local.proxies.remove(leaving)
        written = [len(writer.acknowledged) for writer in writers]
        for writer in writers:
            writer.stopping.set()
        for writer in writers:
            writer.join()
        with connect(live[0]) as reader:
            rows = [key for (key,) in reader.execute("SELECT key FROM item")]
    acknowledged = [key for writer in writers for key in writer.acknowledged]
    assert [error for writer in writers for error in writer.errors] == []
    assert all(written)
    assert len(rows) == len(set(rows))
    assert set(acknowledged) <= set(rows)
