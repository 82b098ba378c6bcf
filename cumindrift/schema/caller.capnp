@0xb8e2714f3ac05d61;

struct Open {
}

struct OpenReply {
  code @0 :UInt16;
  incarnation @1 :UInt64;
  agent @2 :Text;
  clockMs @3 :UInt64;
}

struct Request {
  requestId @0 :Data;
  incarnation @1 :UInt64;
  isIdempotent @2 :Bool;
  remainingMs @3 :UInt32;
  attempt @4 :UInt8;
  method @5 :Text;
  path @6 :Text;
  body @7 :Data;
  bornMs @8 :UInt64;
  transmission @9 :UInt16;
}

struct Part {
  requestId @0 :Data;
  number @1 :UInt32;
  isLast @2 :Bool;
  status @3 :UInt16;
  body @4 :Data;
}

struct PartAsk {
  requestId @0 :Data;
  incarnation @1 :UInt64;
  firstNumber @2 :UInt32;
  partCount @3 :UInt16;
}

struct Verdict {
  requestId @0 :Data;
  code @1 :UInt16;
  retryAfterMs @2 :UInt32;
  partNumber @3 :UInt32;
}

struct Cancel {
  requestId @0 :Data;
  incarnation @1 :UInt64;
  bornMs @2 :UInt64;
}

struct Acknowledge {
  requestId @0 :Data;
  incarnation @1 :UInt64;
}

struct CloseFlow {
}

struct CallerMessage {
  union {
    open @0 :Open;
    openReply @1 :OpenReply;
    request @2 :Request;
    part @3 :Part;
    partAsk @4 :PartAsk;
    verdict @5 :Verdict;
    cancel @6 :Cancel;
    acknowledge @7 :Acknowledge;
    closeFlow @8 :CloseFlow;
  }
}
