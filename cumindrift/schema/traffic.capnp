@0xd3a1c6f0b54e9a17;

struct Candidate {
  memberId @0 :UInt64;
  ip @1 :Text;
  port @2 :UInt16;
}

struct FlowRoute {
  team @0 :Text;
  service @1 :Text;
  flowKey @2 :Data;
  viewVersion @3 :UInt64;
  candidates @4 :List(Candidate);
  balancer @5 :Candidate;
}

struct LoadReport {
  memberId @0 :UInt64;
  flowCount @1 :UInt32;
  loadPpm @2 :UInt32;
  canTake @3 :Bool;
}

struct OpenSearch {
  route @0 :FlowRoute;
  position @1 :UInt8;
  hopCount @2 :UInt8;
  assigned @3 :Bool;
  reports @4 :List(LoadReport);
  packet @5 :Data;
  searched @6 :Bool;
}

struct HolderRecord {
  team @0 :Text;
  service @1 :Text;
  flowKey @2 :Data;
  holder @3 :Candidate;
  sequence @4 :UInt64;
  held @5 :Bool;
  incarnation @6 :UInt64;
  ageMs @7 :UInt64;
  teller @8 :Candidate;
}

struct RecordAck {
  flowKey @0 :Data;
  keeperId @1 :UInt64;
  sequence @2 :UInt64;
}

struct FlowHint {
  service @0 :Text;
  flowKey @1 :Data;
  holder @2 :Candidate;
  held @3 :Bool;
}

struct HandoverPart {
  owner @0 :Candidate;
  incarnation @1 :UInt64;
  number @2 :UInt32;
  partCount @3 :UInt32;
  flowKeys @4 :List(Data);
  ledger @5 :Data;
  isClosing @6 :Bool;
  keeperIds @7 :List(UInt64);
  keeperId @8 :UInt64;
}

struct HandoverAck {
  keeperId @0 :UInt64;
  incarnation @1 :UInt64;
  number @2 :UInt32;
}

struct HandoverAsk {
  owner @0 :Candidate;
  incarnation @1 :UInt64;
  firstNumber @2 :UInt32;
  isDone @3 :Bool;
}

struct TrafficMessage {
  union {
    openSearch @0 :OpenSearch;
    holderRecord @1 :HolderRecord;
    recordAck @2 :RecordAck;
    flowHint @3 :FlowHint;
    flowRoute @4 :FlowRoute;
    handoverPart @5 :HandoverPart;
    handoverAck @6 :HandoverAck;
    handoverAsk @7 :HandoverAsk;
  }
}
