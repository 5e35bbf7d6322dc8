namespace py jujubepass.generated.peer

// Messages between nodes. Every message goes one way; a receiver that has something to
// say sends a message of its own. Fields are only ever added, never renumbered.

// Where a node stands and listens.
struct Place {
  1: string address,
  2: string region,
  3: string failure_domain,
}

// What the sender believes of a node. `accusers` name who no longer hears it.
struct NodeRow {
  1: string node,
  2: string incarnation,
  3: i64 sequence,
  4: bool leaving,
  5: list<string> accusers,
  6: optional Place place,
}

// A backend server that said it is leaving; `age` tells how long ago.
struct DepartureRow {
  1: string backend,
  2: string incarnation,
  3: double age_seconds,
}

struct Rows {
  1: list<NodeRow> nodes,
  2: list<DepartureRow> departures,
}

struct Heartbeat {
  1: string node,
  2: string incarnation,
  3: string state,
  4: i64 configuration_number,
  5: string configuration_digest,
  6: optional i64 sequence,
  7: optional i64 members_digest,
  8: optional Place place,
  9: optional Rows rows,
}

// Exactly one field is set.
struct Message {
  1: optional Heartbeat heartbeat,
}

// First frames of a connection: the receiver challenges, the sender proves that it
// holds the peer key.
struct Challenge {
  1: binary nonce,
}

struct Proof {
  1: string node,
  2: binary mac,
}
