package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.ModelUse;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.model.CustomerName;
import java.util.concurrent.CompletableFuture;

/** Sends requests to control. No method blocks, or throws if control is unreachable. */
public interface ControlClient {

  /**
   * Requests tokens for a customer.
   *
   * @param customer the customer
   * @param tokens requested number of tokens, at least 1
   * @return the grant; fails if control is unreachable. A late grant still completes it, so that
   *     its tokens are not lost.
   */
  CompletableFuture<TokenGrant> requestTokens(CustomerName customer, long tokens);

  /**
   * Returns unused tokens to control, or reports a debt.
   *
   * @param customer the customer
   * @param tokens number of returned tokens, negative for a debt
   * @return whether the message was sent; if not, the caller of this method still holds the tokens
   */
  boolean returnTokens(CustomerName customer, long tokens);

  /**
   * Reports that requests wait for a model or adapter.
   *
   * @param wanted the model or adapter, and the requests that wait for it
   */
  void reportModelWanted(ModelWanted wanted);

  /**
   * Records an idempotency key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param requestDigest SHA-256 of method, path and body, in hexadecimal digits
   * @return whether the key is new, and otherwise the earlier outcome; fails if control is
   *     unreachable
   */
  CompletableFuture<IntentReply> recordIntent(
      CustomerName customer, String key, String requestDigest);

  /**
   * Reports the outcome of a call whose idempotency key was recorded.
   *
   * @param outcome the outcome
   */
  void reportOutcome(IntentOutcome outcome);

  /**
   * Reports the usage of replicas.
   *
   * @param use the usage of each replica
   */
  void reportUsage(ModelUse use);
}
