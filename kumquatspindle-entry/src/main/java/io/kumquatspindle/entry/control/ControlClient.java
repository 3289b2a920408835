package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.ModelUse;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.model.CustomerName;
import java.util.concurrent.CompletableFuture;

/** Requests to a control program. No method blocks or throws because control is unreachable. */
public interface ControlClient {

  /**
   * Asks for tokens of a customer.
   *
   * @param customer the customer
   * @param tokens tokens wanted, at least 1
   * @return the grant; fails if control is unreachable. A grant that arrives late still completes
   *     it, so that its tokens are not lost.
   */
  CompletableFuture<TokenGrant> requestTokens(CustomerName customer, long tokens);

  /**
   * Gives unused tokens back, or reports a debt.
   *
   * @param customer the customer
   * @param tokens tokens given back, negative for a debt
   * @return whether the message was sent; if not, the tokens still belong to the caller
   */
  boolean returnTokens(CustomerName customer, long tokens);

  /**
   * Tells that requests wait for a model or adapter.
   *
   * @param wanted the model or adapter and who waits
   */
  void reportModelWanted(ModelWanted wanted);

  /**
   * Has an idempotency key recorded.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param requestDigest SHA-256 of method, path and body, in hexadecimal digits
   * @return the verdict; fails if control is unreachable
   */
  CompletableFuture<IntentReply> recordIntent(
      CustomerName customer, String key, String requestDigest);

  /**
   * Reports the outcome of a call that was recorded.
   *
   * @param outcome the outcome
   */
  void reportOutcome(IntentOutcome outcome);

  /**
   * Reports the use of replicas.
   *
   * @param use the use
   */
  void reportUsage(ModelUse use);
}
