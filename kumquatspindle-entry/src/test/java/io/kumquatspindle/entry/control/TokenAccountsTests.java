package io.kumquatspindle.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.model.CustomerName;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Token accounts")
class TokenAccountsTests {
  private static final CustomerName CUSTOMER = CustomerName.of("c");
  private static final long FIRST_RETRY_MS = 20;
  private static final long LIMIT_MS = 1_000;

  /** Time of one request to control and of delayed timers, in ms. */
  private static final long MARGIN_MS = 900;

  private final ArrayDeque<Long> retries = new ArrayDeque<>();
  private final ControlSession session = new ControlSession(null, null, System::currentTimeMillis);
  private final TokenAccounts accounts = new TokenAccounts(session, System::currentTimeMillis);

  private boolean respond(EntryMessage message) {
    if (message instanceof TokenRequest r) {
      Thread responder =
          new Thread(() -> session.received(new TokenGrant(r.id(), CUSTOMER, 0, retries.poll())));
      responder.start();
    }
    return true;
  }

  @Test
  @DisplayName(
      "reject a waiting request once control no longer knows when tokens will be available")
  void rejectsWhenRetryTimeBecomesUnknown() throws Exception {
    retries.addAll(List.of(FIRST_RETRY_MS, Long.MAX_VALUE));
    session.connected(this::respond);

    Optional<Long> retry = accounts.acquire(CUSTOMER, 10, 4_000).get(4, TimeUnit.SECONDS);

    assertEquals(Optional.of(TokenAccounts.MAX_RETRY_AFTER_MS), retry);
  }

  @Test
  @DisplayName("hold a request no longer than its limit while control does not respond")
  void limitWithoutResponse() throws Exception {
    session.connected(message -> true);
    long start = System.nanoTime();

    accounts.acquire(CUSTOMER, 10, LIMIT_MS).get(10, TimeUnit.SECONDS);

    long heldMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertTrue(heldMs <= LIMIT_MS + MARGIN_MS, heldMs + " ms");
  }
}
