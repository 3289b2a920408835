package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against data of an earlier era that is used, and new eras that are missed. */
@DisplayName("The era of the store")
class StoreEraTests {
  private final StoreEra era = new StoreEra();
  private final List<String> changes = new ArrayList<>();

  StoreEraTests() {
    era.addListener((now, before) -> changes.add(before + " to " + now));
  }

  @Test
  @DisplayName("that a VM learns first is no change")
  void first() {
    assertTrue(era.observe(3));

    assertEquals(3, era.current());
    assertEquals(List.of(), changes);
  }

  @Test
  @DisplayName("changes once for all responses of a new era, also if some eras were not seen")
  void changed() {
    era.observe(3);
    assertTrue(era.observe(4));
    assertTrue(era.observe(4));
    assertTrue(era.observe(6));

    assertEquals(List.of("3 to 4", "4 to 6"), changes);
  }

  @Test
  @DisplayName("changes when a store that has named none names its first one")
  void firstNamedLater() {
    assertTrue(era.observe(0));
    assertTrue(era.observe(1));

    assertEquals(List.of("0 to 1"), changes);
  }

  @Test
  @DisplayName("does not go back for a late response, nor for one whose era is not known")
  void late() {
    era.observe(4);

    assertFalse(era.observe(3));
    assertFalse(era.observe(0));
    assertEquals(4, era.current());
    assertEquals(List.of(), changes);
  }

  @Test
  @DisplayName("is known to listeners before the data that brought it is used")
  void notifiedFirst() {
    List<Long> seen = new ArrayList<>();
    era.addListener((now, before) -> seen.add(era.current()));
    era.observe(1);
    era.observe(2);

    assertEquals(List.of(2L), seen);
  }
}
