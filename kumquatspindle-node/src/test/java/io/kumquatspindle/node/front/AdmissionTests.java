package io.kumquatspindle.node.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Admission of requests")
class AdmissionTests {
  private final AtomicLong now = new AtomicLong(1_000);
  private final NodeContext node = TestNodes.of(now, "west");
  private final Admission admission =
      new Admission(new FrontParts(node, null, null, null, null, null, null, null));

  @Test
  @DisplayName("refuses what arrives long after the begin of a stop, as its answer would be cut")
  void lateInStop() {
    node.stop();
    // Without a configuration nothing is allowed, for another reason.
    assertEquals(Optional.of(ErrorKind.STALE_CONFIGURATION), admission.checkNew(null, "/"));
    now.addAndGet(3_000);

    assertEquals(Optional.of(ErrorKind.SHUTTING_DOWN), admission.checkNew(null, "/"));
  }

  @Test
  @DisplayName("goes on with a request that was taken before and is placed late in a stop")
  void takenBefore() {
    node.stop();
    now.addAndGet(3_000);

    assertEquals(Optional.of(ErrorKind.STALE_CONFIGURATION), admission.check(null, "/"));
  }
}
