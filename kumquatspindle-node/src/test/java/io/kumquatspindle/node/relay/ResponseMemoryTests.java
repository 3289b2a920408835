package io.kumquatspindle.node.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The memory of responses")
class ResponseMemoryTests {
  private final ResponseMemory memory = new ResponseMemory(1_000);

  @Test
  @DisplayName("is bounded over all responses together")
  void bound() {
    ResponseMemory.Account first = memory.open();
    ResponseMemory.Account second = memory.open();
    assertTrue(first.resize(700));
    assertFalse(second.resize(301));
    assertTrue(second.resize(300));
    assertFalse(first.resize(701));
    assertEquals(1_000, memory.usedBytes());
  }

  @Test
  @DisplayName("is free again once a response gives it back")
  void giveBack() {
    ResponseMemory.Account first = memory.open();
    assertTrue(first.resize(1_000));
    assertTrue(first.resize(10));
    assertTrue(memory.open().resize(990));
    assertTrue(first.resize(0));
    assertEquals(990, memory.usedBytes());
  }
}
