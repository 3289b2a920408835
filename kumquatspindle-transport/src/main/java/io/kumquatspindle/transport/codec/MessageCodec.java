package io.kumquatspindle.transport.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.kumquatspindle.api.message.Envelope;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes envelopes as MessagePack. A record is encoded as an array of its components
 * in declaration order, an enum as its name, and a message as a pair of its type id and its fields.
 * For compatibility between versions, unknown trailing fields are ignored and missing trailing
 * fields decode to null, zero or an empty value.
 */
public final class MessageCodec {
  private static final ObjectMapper MAPPER = newMapper();
  private static final ObjectWriter WRITER = MAPPER.writerFor(Envelope.class);
  private static final ObjectReader READER = MAPPER.readerFor(Envelope.class);

  private MessageCodec() {}

  /**
   * Encodes an envelope.
   *
   * @param envelope the envelope
   * @return one MessagePack value, without a length prefix
   * @throws IllegalArgumentException if a field of the message cannot be serialized
   */
  public static byte[] encode(Envelope envelope) {
    try {
      return WRITER.writeValueAsBytes(envelope);
    } catch (JsonProcessingException e) {
      String type = envelope.body().getClass().getName();
      throw new IllegalArgumentException("cannot encode as MessagePack: " + type, e);
    }
  }

  /**
   * Decodes an envelope.
   *
   * @param bytes one MessagePack value, without a length prefix
   * @return the envelope, whose body is never null
   * @throws CodecException if the bytes are not exactly one envelope with a known message type
   */
  public static Envelope decode(byte[] bytes) throws CodecException {
    requireSingleValue(bytes);
    Envelope envelope;
    try {
      envelope = READER.readValue(bytes);
    } catch (IOException | RuntimeException e) {
      throw new CodecException("cannot decode envelope: " + e.getMessage(), e);
    }
    if (envelope == null || envelope.body() == null) {
      throw new CodecException("envelope has no message");
    }
    return envelope;
  }

  static ObjectMapper mapper() {
    return MAPPER;
  }

  // Validates the lengths without allocating. The Jackson parser allocates the declared length
  // before it reads the bytes, so a corrupt length could exhaust the heap.
  private static void requireSingleValue(byte[] bytes) throws CodecException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != bytes.length) {
        throw new CodecException("unexpected bytes after the envelope");
      }
    } catch (CodecException e) {
      throw e;
    } catch (IOException | MessagePackException e) {
      throw new CodecException("invalid MessagePack: " + e.getMessage(), e);
    }
  }

  private static ObjectMapper newMapper() {
    MessagePackFactory factory = new MessagePackFactory();
    // Reused thread-local buffers would grow to the largest message and never shrink.
    factory.setReuseResourceInGenerator(false);
    factory.setReuseResourceInParser(false);
    return new ObjectMapper(factory)
        .registerModule(new Jdk8Module())
        .setAnnotationIntrospector(new RecordArrayIntrospector())
        .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  }
}
