import behave
import trio

from jujubepass.forwarding import feeds
from jujubepass.platform import store
from jujubepass.storage import _object_client, _object_messages, _store_messages
from jujubepass.transport import _http_client
from standins import processes

KEY = "plan/a"

# Era of the stand-in's answers before it has returned from a copy.
FIRST_ERA = 1


@behave.given("the store's stand-in")
def step_store(context):
    context.processes = processes.Processes()
    context.add_cleanup(context.processes.close)
    context.port = processes.Ports(first=context.first_port).allocate()
    port = str(context.port)
    context.processes.start(
        "store", "standins.row_store", "--port", port, port=context.port
    )
    context.address = _http_client.Address(host=processes.HOST, port=context.port)


def run(context, use):
    """Run a coroutine function with a store client."""
    client = _http_client.Client()
    rows = store.StoreClient(client=client, address=context.address)
    return trio.run(use, rows)


def transact(context, version, value, key=KEY):
    command = _store_messages.Transact(
        operation="w",
        conditions=(_store_messages.Condition(key=key, version=version),),
        writes=(_store_messages.Write(key=key, value=value),),
    )
    return run(context, lambda rows: store.StoreTable(store=rows).transact(command))


def read(context):
    command = _store_messages.ReadRows(operation="r", keys=(KEY, "plan/none"))
    return run(context, lambda rows: store.StoreTable(store=rows).read(command))


@behave.then("a row is written once, read, scanned and deleted")
def step_rows(context):
    written = transact(context, 0, {"a": 1})
    version = written.versions[KEY]
    found = read(context)
    assert list(found.rows) == [KEY], found
    assert (found.rows[KEY].version, found.rows[KEY].value) == (version, {"a": 1})
    scan = _store_messages.ScanRows(operation="s", prefix="plan/", limit=10)
    rows = run(context, lambda rows: store.StoreTable(store=rows).scan(scan))
    assert list(rows.rows) == [KEY], rows
    transact(context, version, None)
    assert not read(context).rows


@behave.then("a write whose condition fails returns the current row")
def step_conflict(context):
    context.version = transact(context, 0, {"a": 2}).versions[KEY]
    conflict = transact(context, 0, {"a": 3})
    assert isinstance(conflict, _store_messages.TransactionConflicted), conflict
    assert conflict.rows[0].value == {"a": 2}, conflict


@behave.then("a write whose answer is lost is unclear, and its row is stored")
def step_answer_lost(context):
    processes.change_knobs(context.port, lose_writes=1)
    outcome = transact(context, context.version, {"a": 4})
    assert isinstance(outcome, _store_messages.TransactionUnclear), outcome
    assert read(context).rows[KEY].value == {"a": 4}


@behave.then("a write to a table of the operators is refused with 403")
def step_forbidden_table(context):
    async def write(rows):
        body = b'{"puts": [{"table": "op", "part": "", "key": "a", "value": ""}]}'
        return await rows.call("POST", "/v1/rows-tx", body=body)

    assert run(context, write).status == 403


@behave.when("the store answers {status:d}")
def step_status(context, status):
    processes.change_knobs(context.port, status=status)


@behave.then("a write is {outcome} and a read has failed")
def step_outcome(context, outcome):
    outcome_classes = {
        "unsent": _store_messages.TransactionUnsent,
        "unclear": _store_messages.TransactionUnclear,
    }
    found = transact(context, 0, {"a": 1})
    assert isinstance(found, outcome_classes[outcome]), found
    assert isinstance(read(context), _store_messages.ReadFailed)


@behave.then("an object is written, read and deleted, and then reading it fails")
def step_objects(context):
    async def use(rows):
        objects: _object_client.Objects = store.make_objects(rows.client, rows.address)
        name = "snapshot 1/2"
        put = _object_messages.PutObject(operation="p", name=name, data=b"bytes")
        get = _object_messages.GetObject(operation="g", name=name)
        delete = _object_messages.DeleteObject(operation="d", name=name)
        return [
            await objects.put(put),
            await objects.get(get),
            await objects.delete(delete),
            await objects.get(get),
        ]

    written, found, deleted, missing = run(context, use)
    assert isinstance(written, _object_messages.ObjectWritten), written
    assert found.data == b"bytes", found
    assert isinstance(deleted, _object_messages.ObjectDeleted), deleted
    assert isinstance(missing, _object_messages.ObjectFailed), missing


def follow(context, after):
    def decode(key, version, value):
        return value

    async def use(rows):
        table = store.TableFeed(store=rows, table="servers")
        feed = feeds.DecodedFeed(rows=table, decode=decode)
        if after is None:
            return await feed.read()
        return await feed.follow(after, 0.2, era=FIRST_ERA)

    return run(context, use)


@behave.then(
    "a feed returns written and deleted rows, with undecodable rows as deleted"
)
def step_feed(context):
    first = follow(context, None)
    assert first.is_complete and not first.items, first
    processes.call("PUT", context.port, "/rows/servers/a", {"name": "a"})
    processes.call("PUT", context.port, "/rows/servers/b", b"{")
    found = follow(context, first.version)
    assert found.items == {"a": {"name": "a"}, "b": None}, found
    processes.call("PUT", context.port, "/rows/servers/a", b"")
    context.version = found.version
    assert follow(context, found.version).items == {"a": None}


@behave.then("after the store lost its history, the feed reports the loss")
def step_history_lost(context):
    processes.call("POST", context.port, "/forget", {})
    try:
        follow(context, context.version)
    except feeds.HistoryLostError:
        return
    raise AssertionError("the feed did not report the lost history")
