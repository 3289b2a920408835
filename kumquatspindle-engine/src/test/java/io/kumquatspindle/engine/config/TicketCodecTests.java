package io.kumquatspindle.engine.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("TicketCodec")
class TicketCodecTests {

  @Test
  @DisplayName("parses a valid ticket, and restores it after encoding")
  void roundTrip() {
    List<String> none = TicketCodec.parse(Tickets.bytes(Tickets.BASE)).fold(t -> List.of(), f -> f);
    assertEquals(List.of(), none);
    byte[] encoded = TicketCodec.encode(Tickets.ticket(Tickets.BASE));
    assertEquals(
        new DecodedTicket.WellFormed(Tickets.ticket(Tickets.BASE)), TicketCodec.parse(encoded));
  }

  // If a misspelt field were ignored, an operator would believe in a change that was never made.
  @Test
  @DisplayName("reports every unknown field with its path")
  void unknownFields() {
    String json =
        "{\"numbr\":{\"a\":1},\"models\":[{\"name\":\"m\"},{\"name\":\"n\",\"memory\":[1]}]}";
    assertEquals(
        List.of("$.numbr: no such field", "$.models[1].memory: no such field"), parseErrors(json));
  }

  @ParameterizedTest(name = "{0} at {1}")
  @DisplayName("reports a value of the wrong type with its path")
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"number\":\"5\"} | $.number",
        "{\"number\":1.5} | $.number",
        "{\"number\":null} | $.number",
        "{\"author\":7} | $.author",
        "{\"models\":[null]} | $.models[0]",
        "{\"models\":{}} | $.models",
        "{\"models\":[{\"name\":\"m\"},{\"memoryMb\":true}]} | $.models[1].memoryMb",
        "{\"keys\":[{\"hash\":\"abc\"}]} | $.keys[0].hash",
        "{\"endpoints\":[{\"kind\":0}]} | $.endpoints[0].kind",
        "{\"remove\":{\"models\":[\"-\"]}} | $.remove.models[0]",
        "[] | $",
        "{\"number\":1,\"number\":2} | line 1, column 21",
        "{\"number\":1}} | line 1, column 13",
        "{\"number\": | line 1, column 11"
      })
  void wrongTypes(String json, String path) {
    List<String> errors = parseErrors(json);
    assertEquals(1, errors.size(), errors.toString());
    assertTrue(errors.get(0).startsWith(path + ": "), errors.get(0));
  }

  // An older version of the program must apply tickets written by a newer one.
  @Test
  @DisplayName("ignores unknown fields in records")
  void lenient() {
    assertEquals(7, Tickets.ticket("{\"number\":7,\"later\":{\"x\":1}}").number());
  }

  private static List<String> parseErrors(String json) {
    return TicketCodec.parse(Tickets.bytes(json)).fold(t -> List.of(), f -> f);
  }
}
