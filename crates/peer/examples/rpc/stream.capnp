@0xd0c7be2bdf4a51a3;
# A streamed answer by remote calls, to weigh against frames.

# Takes the tokens of an answer.
interface Sink {
  push @0 (offset :UInt64, bytes :Data) -> ();
}

# Gives an answer.
interface Source {
  # Pushes the tokens to the sink, one each `pauseMicros`, and returns after the last.
  start @0 (tokens :UInt32, pauseMicros :UInt32, sink :Sink) -> ();
}
