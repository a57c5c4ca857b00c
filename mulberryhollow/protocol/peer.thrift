// Messages between the daemons of one environment.

namespace py mulberryhollow.protocol.gen.peer

struct Fact {
  1: required string topic,
  2: required string key,
  3: required i64 version,
  4: required binary value,
  5: required double expires_s,
}

struct FactId {
  1: required string topic,
  2: required string key,
  3: required i64 version,
}

struct Exchange {
  1: optional list<Fact> facts,
  2: optional list<FactId> offers,
  3: optional list<FactId> wants,
  4: required i64 digest,
  5: optional list<i64> digests,
  6: required i32 room_bytes,
}

struct Envelope {
  1: required string sender,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required double sent_s,
  5: required string recipient,
  6: required string topic,
  7: required binary payload,
  8: required binary reply_to,
  9: required binary mac,
}

service PeerService {
  Envelope exchange(1: Envelope envelope),
  Envelope call(1: Envelope envelope),
}
