@0xd4a1c07e92b35f18;

struct Epoch {
  incarnation @0 :UInt64;
  offsetMs @1 :Int64;
}

struct Row {
  requestId @0 :Data;
  code @1 :UInt16;
  bornMs @2 :Int64;
  endedMs @3 :Int64;
}

struct Image {
  clockMs @0 :Int64;
  floorMs @1 :Int64;
  epochs @2 :List(Epoch);
  rows @3 :List(Row);
}

struct LedgerMessage {
  union {
    image @0 :Image;
    unused @1 :Void;
  }
}
