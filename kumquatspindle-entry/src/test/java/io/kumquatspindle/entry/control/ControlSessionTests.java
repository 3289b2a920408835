package io.kumquatspindle.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.ConfigUpdate;
import io.kumquatspindle.api.message.EntryMessage.EntryHello;
import io.kumquatspindle.api.message.EntryMessage.Freshness;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.engine.quota.QuotaSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("ControlSession")
class ControlSessionTests {
  private static final CustomerName CUSTOMER = CustomerName.of("patrols");
  private static final String KEY = "k-1";

  private final List<EntryMessage> sent = new ArrayList<>();
  private final ControlState controlState = ControlState.empty();
  private long now = 1_000_000;
  private final ControlSession session =
      new ControlSession(new EntryHello(VmId.of("vm-1"), "i", 1), controlState, () -> now);

  private static Configuration configuration(boolean withdrawn) {
    KeyHash hash = KeyHash.ofKey(KEY);
    return new Configuration(
        1,
        Map.of(),
        Map.of(),
        Map.of(CUSTOMER, new CustomerSpec(CUSTOMER, 1, 1, 1, 10, Set.of(), Set.of())),
        Map.of(hash, new KeySpec(hash, CUSTOMER, withdrawn)),
        Map.of(),
        Map.of(),
        Map.of(),
        Limits.NONE);
  }

  private static final long WAIT_MS = 100;

  private Optional<ErrorKind> keyError() {
    return controlState
        .configuration()
        .authenticate(KEY, now)
        .fold(a -> Optional.empty(), r -> Optional.of(r.kind()));
  }

  @Test
  @DisplayName("a control program that lags behind does not make a withdrawn key valid again")
  void ignoresOlderConfiguration() {
    session.received(new ConfigUpdate(5, 0, configuration(true)));
    session.received(new ConfigUpdate(4, 0, configuration(false)));
    assertEquals(Optional.of(ErrorKind.KEY_WITHDRAWN), keyError());
  }

  @Test
  @DisplayName("only a confirmation of the current configuration extends the grace time")
  void countsGraceFromLastConfirmation() {
    assertEquals(Optional.of(ErrorKind.STALE_CONFIGURATION), keyError());
    session.received(new ConfigUpdate(5, 4_000, configuration(false)));
    now += 6_000;
    assertEquals(Optional.empty(), keyError());
    now += 1;
    assertEquals(Optional.of(ErrorKind.STALE_CONFIGURATION), keyError());
    session.received(new Freshness(6, 0));
    assertEquals(Optional.of(ErrorKind.STALE_CONFIGURATION), keyError());
    session.received(new Freshness(5, 0));
    assertEquals(Optional.empty(), keyError());
  }

  @Test
  @DisplayName("requests fail at once without control, and pending ones fail on disconnect")
  void failsWithoutControl() {
    assertTrue(session.requestTokens(CUSTOMER, 1).isCompletedExceptionally());
    session.connected(sent::add);
    CompletableFuture<?> intent = session.recordIntent(CUSTOMER, "k", "d");
    session.disconnected();
    assertTrue(intent.isCompletedExceptionally());
  }

  @Test
  @DisplayName(
      "a grant that arrives after the timeout counts once, and is returned once it expires")
  void keepsLateGrant() throws Exception {
    session.connected(sent::add);
    TokenAccounts accounts = new TokenAccounts(session, () -> now);
    Optional<Long> rejected = accounts.acquire(CUSTOMER, 10, WAIT_MS).get(2, TimeUnit.SECONDS);
    assertTrue(rejected.isPresent());
    TokenRequest request = (TokenRequest) sent.get(1);
    TokenGrant late = new TokenGrant(request.id(), CUSTOMER, 10, 0);
    session.received(late);
    session.received(late);
    now += QuotaSettings.DEFAULT.grantValidMs();
    accounts.tick();
    accounts.tick();
    accounts.tick();
    assertEquals(new TokenReturn(CUSTOMER, 10), sent.get(sent.size() - 1));
  }

  @Test
  @DisplayName(
      "granted tokens are not spent after they expire, since control has refilled its bucket")
  void dropsExpiredGrant() {
    session.connected(sent::add);
    TokenAccounts accounts = new TokenAccounts(session, () -> now);
    CompletableFuture<Optional<Long>> first = accounts.acquire(CUSTOMER, 1, WAIT_MS);
    TokenRequest ask = (TokenRequest) sent.get(1);
    session.received(new TokenGrant(ask.id(), CUSTOMER, 100, 0));
    assertEquals(Optional.empty(), first.join());
    now += QuotaSettings.DEFAULT.grantValidMs();
    assertFalse(accounts.acquire(CUSTOMER, 1, WAIT_MS).isDone());
    accounts.tick();
    assertTrue(sent.contains(new TokenReturn(CUSTOMER, 99)));
  }

  @Test
  @DisplayName(
      "a request waits while control is unreachable, and gets its tokens after a reconnect")
  void waitsForControl() throws Exception {
    TokenAccounts accounts = new TokenAccounts(session, () -> now);
    CompletableFuture<Optional<Long>> taken = accounts.acquire(CUSTOMER, 10, 2_000);
    assertFalse(taken.isDone());
    session.connected(
        m -> {
          if (m instanceof TokenRequest r) {
            session.received(new TokenGrant(r.id(), CUSTOMER, r.tokens(), 0));
          }
          return true;
        });
    assertEquals(Optional.empty(), taken.get(2, TimeUnit.SECONDS));
  }

  @Test
  @DisplayName("a request that gets no tokens is rejected at its deadline")
  void rejectsAtDeadline() throws Exception {
    TokenAccounts accounts = new TokenAccounts(session, () -> now);
    assertTrue(accounts.acquire(CUSTOMER, 10, 1).get(1, TimeUnit.SECONDS).isPresent());
  }

  @Test
  @DisplayName("grants that arrive in another order than the requests serve all requests")
  void servesPendingRequestsInOrder() {
    session.connected(sent::add);
    TokenAccounts accounts = new TokenAccounts(session, () -> now);
    CompletableFuture<Optional<Long>> first = accounts.acquire(CUSTOMER, 10, WAIT_MS);
    CompletableFuture<Optional<Long>> second = accounts.acquire(CUSTOMER, 5, WAIT_MS);
    for (int i = 2; i >= 1; i--) {
      TokenRequest ask = (TokenRequest) sent.get(i);
      assertEquals(i == 1 ? 10 : 5, ask.tokens());
      session.received(new TokenGrant(ask.id(), CUSTOMER, ask.tokens(), 0));
    }
    assertEquals(Optional.empty(), first.join());
    assertEquals(Optional.empty(), second.join());
  }

  @Test
  @DisplayName("tokens used beyond the reservation are reported to control as a debt")
  void reportsDebt() {
    session.connected(sent::add);
    TokenAccounts accounts = new TokenAccounts(session, () -> now);
    accounts.settle(CUSTOMER, -7);
    session.disconnected();
    accounts.tick();
    session.connected(sent::add);
    accounts.tick();
    assertEquals(new TokenReturn(CUSTOMER, -7), sent.get(sent.size() - 1));
  }
}
