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
 * Encodes envelopes as MessagePack. A record is an array of its components in order, an enum is its
 * name, and a message is a pair of its kind and its fields. Trailing fields that this build does
 * not know are ignored, and trailing fields that an older build did not send are null, zero or
 * empty.
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
   * @return one MessagePack value, without a length
   * @throws IllegalArgumentException if a field of the message has no MessagePack form
   */
  public static byte[] encode(Envelope envelope) {
    try {
      return WRITER.writeValueAsBytes(envelope);
    } catch (JsonProcessingException e) {
      String kind = envelope.body().getClass().getName();
      throw new IllegalArgumentException("no MessagePack form: " + kind, e);
    }
  }

  /**
   * Decodes an envelope.
   *
   * @param bytes one MessagePack value, without a length
   * @return the envelope, whose body is never null
   * @throws CodecException if the bytes are anything but one envelope of a known message
   */
  public static Envelope decode(byte[] bytes) throws CodecException {
    requireOneValue(bytes);
    Envelope envelope;
    try {
      envelope = READER.readValue(bytes);
    } catch (IOException | RuntimeException e) {
      throw new CodecException("not an envelope: " + e.getMessage(), e);
    }
    if (envelope == null || envelope.body() == null) {
      throw new CodecException("envelope without a message");
    }
    return envelope;
  }

  static ObjectMapper mapper() {
    return MAPPER;
  }

  // The parser allocates what a length field says before it looks at the bytes that follow, so a
  // damaged length could exhaust the heap. This pass allocates nothing.
  private static void requireOneValue(byte[] bytes) throws CodecException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != bytes.length) {
        throw new CodecException("bytes after the envelope");
      }
    } catch (CodecException e) {
      throw e;
    } catch (IOException | MessagePackException e) {
      throw new CodecException("not MessagePack: " + e.getMessage(), e);
    }
  }

  private static ObjectMapper newMapper() {
    MessagePackFactory factory = new MessagePackFactory();
    // The buffers that the library keeps for each thread grow to the largest message and stay.
    factory.setReuseResourceInGenerator(false);
    factory.setReuseResourceInParser(false);
    return new ObjectMapper(factory)
        .registerModule(new Jdk8Module())
        .setAnnotationIntrospector(new RecordsAsArrays())
        .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  }
}
