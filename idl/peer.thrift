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

// Shares of client account limits: rates in thousandths of a request a second.
struct ShareDemand {
  1: string account,
  2: i64 wanted_rate,
  3: i64 held_rate,
  4: i32 wanted_running,
  5: i32 held_running,
}

struct ShareDemands {
  1: string node,
  2: list<ShareDemand> demands,
}

struct ShareGrant {
  1: string account,
  2: i64 rate,
  3: i32 running,
}

struct ShareGrants {
  1: string node,
  2: list<ShareGrant> grants,
}

// One accepted change. The delta is JSON: sections by title, null for one deleted; one
// value costs the pure Python codec far less than a map of maps.
struct ConfigurationEntry {
  1: i64 number,
  2: binary digest,
  3: string change,
  4: string author,
  5: binary delta,
}

// Changes in order; the receiver passes them on to the nodes whose region, failure
// domain and name lie from `first` to `last`.
struct ConfigurationChanges {
  1: string node,
  2: list<ConfigurationEntry> entries,
  3: optional list<string> first,
  4: optional list<string> last,
  5: optional bool confirm,
}

// Answers pushed changes: the sum of the hashes of the names of the nodes, from the sender
// on, that have the number in force, and some of the names that do not.
struct ConfigurationConfirmation {
  1: string node,
  2: i64 number,
  3: i64 names_sum,
  4: list<string> missing,
}

// Asks for the changes after a number, or for the sections after a title.
struct ConfigurationQuestion {
  1: string node,
  2: string address,
  3: optional i64 after_number,
  4: optional string after_title,
}

// Some of all sections at one number, as JSON, in order of title.
struct ConfigurationPage {
  1: string node,
  2: i64 number,
  3: binary digest,
  4: string after_title,
  5: binary sections,
  6: bool last,
}

// Exactly one field is set.
struct Message {
  1: optional Heartbeat heartbeat,
  20: optional ShareDemands share_demands,
  21: optional ShareGrants share_grants,
  10: optional ConfigurationChanges configuration_changes,
  11: optional ConfigurationQuestion configuration_question,
  12: optional ConfigurationPage configuration_page,
  13: optional ConfigurationConfirmation configuration_confirmation,
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
