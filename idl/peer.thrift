namespace py jujubepass.generated.peer

// Messages between nodes. Every message goes one way; a receiver that has something to
// say sends a message of its own. Fields are only ever added, never renumbered.

struct Heartbeat {
  1: string node,
  2: string incarnation,
  3: string state,
  4: i64 configuration_number,
  5: string configuration_digest,
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
