// Messages between toucanspool's own processes. One frame carries one message.
namespace py messages

enum Outcome { COMPLETED = 1, NOT_RUN = 2, UNKNOWN = 3 }

enum Refusal {
  DRAINING = 1, BUSY = 2, DEADLINE = 3, WRONG_UPSTREAM = 4, TABLE_DOWN = 5,
  IN_PROGRESS = 6, KEY_REUSED = 7, UNREACHABLE = 8, CANCELLED = 9, NO_CONFIG = 10,
  BROKEN = 11, UNCERTAIN = 12
}

// Hand a call over to the agent beside an upstream.
struct Open {
  1: i64 call, 2: string request_id, 3: i32 attempt, 4: string team,
  5: string upstream, 6: string method, 7: string path,
  8: map<string, string> headers, 9: binary body, 10: i32 deadline_ms,
  11: string idempotency_key, 12: bool guarded, 13: i32 priority,
  14: i64 revision, 15: i32 window
}

// Status line and headers of the upstream's reply; framed if it says where its body ends.
struct Head {
  1: i64 call, 2: i32 status, 3: map<string, string> headers, 4: bool framed = true
}

// A piece of the reply's body; offset counts bytes from the start of the body.
struct Chunk { 1: i64 call, 2: i64 offset, 3: binary data }

// The last message of a call; offset is the body's whole length in bytes.
struct End {
  1: i64 call, 2: Outcome outcome, 3: i64 offset, 4: optional Refusal refusal,
  5: string detail, 6: i32 retry_after_ms, 7: bool replayed
}

// Let the agent send this many more chunks.
struct Credit { 1: i64 call, 2: i32 chunks }

struct Cancel { 1: i64 call }

// What an agent says of its upstream, sent alone or after an End.
struct Report {
  1: string upstream, 2: i64 seq, 3: i32 running, 4: i32 waiting, 5: double step_ms,
  6: string state, 7: i64 revision, 8: i32 age_ms, 9: list<string> prefixes
}

// The first message on a connection, from either side.
struct Hello {
  1: string instance, 2: string role, 3: string failure_domain, 4: i64 revision
}

// Ask for the changes of configuration after a revision.
struct Pull { 1: i64 call, 2: i64 after, 3: i32 limit }

// Changes of configuration in order of revision; where whole is set, instead all
// records of the configuration at the newest revision.
struct Changes { 1: i64 call, 2: i64 newest, 3: list<binary> records, 4: bool whole }

enum OrderKind { STATUS = 1, LOAD = 2, HOLD = 3, SWITCH = 4, RESUME = 5, FENCE = 6 }

enum OrderResult { OK = 1, STALE_FENCE = 2, NOT_READY = 3, UNREACHABLE = 4, TABLE_DOWN = 5 }

// An order of the group's coordinator to the agent of one rank.
struct Order {
  1: i64 call, 2: string group, 3: i32 rank, 4: i64 fence, 5: OrderKind kind,
  6: i64 version, 7: binary experts
}

struct OrderReply {
  1: i64 call, 2: OrderResult result, 3: i64 fence, 4: i64 version, 5: i64 loaded,
  6: bool held, 7: i64 step, 8: string detail, 9: i32 rank,
  10: i64 order_fence
}

// What one rank did since its last report; tokens of each layer's slots, row by row.
struct RankLoad {
  1: string group, 2: i32 rank, 3: i64 version, 4: i32 steps, 5: double busy_s,
  6: i32 layers, 7: list<i32> tokens, 8: i32 age_ms
}

enum RankAction { STATUS = 1, PREPARE = 2, HOLD = 3, ARM = 4, DISARM = 5, GO = 6, LISTS = 7,
  COUNTS = 8, HOLD_AHEAD = 9, HOLD_SHARED = 10
}

enum RankResult { OK = 1, STALE = 2, REFUSED = 3, LOST = 4, NOT_READY = 5 }

// A coordinator asks the agent of one rank. HOLD holds the pass in step if no order has
// named it before; HOLD_SHARED also if one may have; HOLD_AHEAD one that is at least step
// passes ahead and has not been named. experts holds them by set, rank and
// place as 16-bit numbers, -1 for an empty place, compressed by zlib. With a base, changes
// holds what differs from the map of that version, and experts is empty. Answers to
// PREPARE wait a little for the copies unless answer_at_once is set.
// STATUS with a version is answered once the experts of that version are copied, as
// PREPARE is, or a little later.
struct RankAsk {
  1: i64 call, 2: string group, 3: i64 token, 4: RankAction action, 5: i64 version,
  6: i64 step, 7: i64 epoch, 8: binary experts, 9: i32 ranks, 10: i32 places,
  11: optional i64 base, 12: optional binary changes, 13: optional bool answer_at_once
}

// What the rank is at, after the action; a version or step of -1 stands for none.
// armed_step is the pass at which the rank switches to the armed version.
// experts holds the experts of its map by set and place, as in RankAsk. picks holds how
// often the rank chose each expert since the last answer, by set and expert as 8-bit
// numbers, one of which stands for picks_unit picks.
struct RankAnswer {
  1: i64 call, 2: RankResult result, 3: i64 token, 4: string group, 5: i64 epoch,
  6: i32 rank, 7: i32 size, 8: bool open, 9: i64 step, 10: i64 map_version,
  11: i64 prepared, 12: i64 armed, 13: i64 held, 14: i32 running, 15: i32 waiting,
  16: binary picks, 17: i64 newest_version, 18: string detail, 19: binary experts,
  20: double pace, 21: double picks_unit, 22: i64 armed_step
}

// Exactly one field is set.
struct Frame {
  1: optional Open open, 2: optional Head head, 3: optional Chunk chunk,
  4: optional End end, 5: optional Credit credit, 6: optional Cancel cancel,
  7: optional Report report, 8: optional Hello hello, 9: optional Pull pull,
  10: optional Changes changes, 11: optional Order order,
  12: optional OrderReply order_reply, 13: optional RankLoad rank_load,
  14: optional RankAsk rank_ask, 15: optional RankAnswer rank_answer
}
