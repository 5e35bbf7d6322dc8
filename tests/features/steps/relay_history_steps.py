import behave

from jujubepass.forwarding import feeds
from jujubepass.relay import history

MAX_DELETED_ROWS = 1_000


def make_changes(version, rows, *, is_complete=False):
    return feeds.RowChanges(
        rows=tuple(
            feeds.Row(key=key, version=row_version, value=value)
            for key, row_version, value in rows
        ),
        version=version,
        confirmed_at=float(version),
        is_complete=is_complete,
    )


def list_rows(changes):
    return {row.key: row.value for row in changes.rows}


@behave.given("a table's history from a complete read at version 5")
def step_history(context):
    context.history = history.RowHistory()
    rows = [("a", 1, "a1"), ("b", 3, "b3"), ("c", 5, "c5")]
    context.history.apply(make_changes(5, rows, is_complete=True))


@behave.then("after version 5 it lists an update and a deletion alone")
def step_changes(context):
    context.history.apply(make_changes(8, [("a", 7, "a7"), ("b", 8, None)]))
    found = context.history.find_since(5, 0)
    assert not found.is_complete, found
    assert list_rows(found) == {"a": "a7", "b": None}, found
    assert (found.version, found.confirmed_at) == (8, 8.0), found


@behave.then("after version 4 it lists all rows, without the deleted one")
def step_all(context):
    found = context.history.find_since(4, 0)
    assert found.is_complete, found
    live = {key: value for key, value in list_rows(found).items() if value is not None}
    assert live == {"a": "a7", "c": "c5"}, found


@behave.then("rows of a lower version are ignored")
def step_outdated(context):
    assert not context.history.apply(make_changes(7, [("c", 6, "c6")]))
    assert list_rows(context.history.find_since(None, 0))["c"] == "c5"
    assert context.history.confirmed_at == 8.0


@behave.then("after more deletions than are kept it lists all rows")
def step_many_deletions(context):
    rows = [(f"d{number}", 10 + number, None) for number in range(MAX_DELETED_ROWS + 1)]
    context.history.apply(make_changes(2_000, rows))
    found = context.history.find_since(9, 0)
    assert found.is_complete, found
    assert list_rows(found) == {"a": "a7", "c": "c5"}, found
    assert not context.history.find_since(2_000, 0).rows
