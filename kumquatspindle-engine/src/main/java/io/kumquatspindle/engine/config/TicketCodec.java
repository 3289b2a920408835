package io.kumquatspindle.engine.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.util.List;

/** Converts tickets to and from JSON. */
public final class TicketCodec {
  /**
   * Size limit of a ticket's JSON text, in bytes. Controls forward tickets to each other together
   * with other records, in frames of at most 4 MiB.
   */
  public static final int MAX_TICKET_BYTES = 1024 * 1024;

  private static final ObjectMapper STRICT = newStrictMapper();

  private TicketCodec() {}

  /**
   * Parses a ticket written by a person. Unknown fields, repeated fields, nulls and values of the
   * wrong type are errors. Returns all unknown fields and nulls at once, or the first other error.
   *
   * @param json JSON text in UTF-8
   * @return the ticket or the errors, each with its JSON path or its line and column
   */
  public static DecodedTicket parse(byte[] json) {
    if (json.length > MAX_TICKET_BYTES) {
      return tooLarge(json);
    }
    try {
      List<String> errors = StrictFieldCheck.findErrors(STRICT.readTree(json), Ticket.class);
      return errors.isEmpty()
          ? new DecodedTicket.WellFormed(STRICT.readValue(json, Ticket.class))
          : new DecodedTicket.Malformed(errors);
    } catch (IOException e) {
      return new DecodedTicket.Malformed(List.of(describe(e)));
    }
  }

  /**
   * Decodes a ticket from the log. Unknown fields are ignored, since a newer version of the program
   * may have written them.
   *
   * @param json JSON text in UTF-8
   * @return the ticket or the errors
   */
  public static DecodedTicket decode(byte[] json) {
    if (json.length > MAX_TICKET_BYTES) {
      return tooLarge(json);
    }
    try {
      Ticket ticket = Json.decode(json, Ticket.class);
      return ticket == null
          ? new DecodedTicket.Malformed(List.of("$: expected an object but found null"))
          : new DecodedTicket.WellFormed(ticket);
    } catch (IOException e) {
      return new DecodedTicket.Malformed(List.of(describe(e)));
    }
  }

  /**
   * Encodes a ticket.
   *
   * @param ticket the ticket
   * @return its JSON text in UTF-8
   */
  public static byte[] encode(Ticket ticket) {
    return Json.encode(ticket);
  }

  private static DecodedTicket tooLarge(byte[] json) {
    String error = "$: " + json.length + " bytes, more than the limit of " + MAX_TICKET_BYTES;
    return new DecodedTicket.Malformed(List.of(error));
  }

  private static String describe(IOException e) {
    if (e instanceof JsonMappingException m) {
      return path(m.getPath()) + ": " + mappingMessage(m);
    }
    if (e instanceof JsonProcessingException p) {
      JsonLocation at = p.getLocation();
      String where = at == null ? "$" : "line " + at.getLineNr() + ", column " + at.getColumnNr();
      return where + ": not JSON: " + p.getOriginalMessage();
    }
    return "$: " + e.getMessage();
  }

  private static String mappingMessage(JsonMappingException e) {
    if (e.getCause() instanceof IllegalArgumentException cause) {
      return cause.getMessage();
    }
    if (e.getCause() instanceof NullPointerException) {
      return "null is not allowed in a list";
    }
    if (e instanceof MismatchedInputException m && m.getTargetType() != null) {
      String type = m.getTargetType().getSimpleName();
      return "wrong type, expected " + type + ": " + firstLine(e.getOriginalMessage());
    }
    return firstLine(e.getOriginalMessage());
  }

  private static String firstLine(String message) {
    return message.lines().findFirst().orElse("");
  }

  private static String path(List<JsonMappingException.Reference> references) {
    StringBuilder s = new StringBuilder("$");
    for (JsonMappingException.Reference r : references) {
      if (r.getFieldName() != null) {
        s.append('.').append(r.getFieldName());
      } else {
        s.append('[').append(r.getIndex()).append(']');
      }
    }
    return s.toString();
  }

  private static ObjectMapper newStrictMapper() {
    ObjectMapper mapper =
        JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();
    for (CoercionInputShape shape :
        List.of(CoercionInputShape.Integer, CoercionInputShape.Float, CoercionInputShape.Boolean)) {
      mapper.coercionConfigFor(LogicalType.Textual).setCoercion(shape, CoercionAction.Fail);
    }
    return mapper;
  }
}
