package io.kumquatspindle.node.order;

import io.kumquatspindle.node.port.RecordStore;
import java.util.function.Consumer;

/** Store of tests that need its groups, and no topics. */
abstract class GroupOnlyStore implements RecordStore {
  @Override
  public void readLatest(Topic topic, Consumer<ReadResult> callback) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void read(Topic topic, long from, long waitMs, Consumer<ReadResult> callback) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void append(Topic topic, String key, byte[] value, Consumer<Boolean> callback) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void leave(String group, String member, Runnable callback) {
    callback.run();
  }
}
