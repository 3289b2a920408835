package io.kumquatspindle.transport.link;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.message.EntryMessage.EntryHello;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.message.PeerMessage.RecordsRequest;
import io.kumquatspindle.api.model.VmId;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("LinkMetrics")
class LinkMetricsTests {
  private static final EntryHello ENTRY = new EntryHello(VmId.of("vm-1"), "a", EntryHello.PROTOCOL);

  private final MetricRegistry atClient = new MetricRegistry();
  private final MetricRegistry atServer = new MetricRegistry();
  private final LinkRuntime near = LinkRuntime.start(1, "near", new LinkMetrics(atClient));
  private final LinkRuntime far = LinkRuntime.start(1, "far", new LinkMetrics(atServer));
  private final RecordingListener received = new RecordingListener();
  private LinkServer server;
  private LinkClient client;

  @BeforeEach
  void connect() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = LinkServer.builder(far, received).address(any).start();
    InetSocketAddress address = new InetSocketAddress(any.getAddress(), server.boundPort());
    client = LinkClient.builder(near, new RecordingListener()).address(address).start();
    await().until(() -> client.current().isPresent() && !received.open.isEmpty());
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
    near.close();
    far.close();
  }

  private void send(Message message) {
    int before = received.received.size();
    client.current().orElseThrow().send(message);
    await().until(() -> received.received.size() > before);
  }

  private static long count(MetricRegistry registry, String name) {
    return registry.counter(name).getCount();
  }

  @Test
  @DisplayName(
      "counts the same bytes and frames on both sides, and by message type on the sending side")
  void countsBothEnds() {
    send(new RecordsRequest("tickets", 1));
    long sent = count(atClient, "link_bytes_out{kind=\"peer\"}");
    assertEquals(sent, count(atServer, "link_bytes_in{kind=\"peer\"}"));
    assertEquals(sent, count(atClient, "link_message_bytes_sent{message=\"RecordsRequest\"}"));
    assertEquals(1, count(atClient, "link_frames_out{kind=\"peer\"}"));
    assertEquals(1, count(atServer, "link_frames_in{kind=\"peer\"}"));
  }

  @Test
  @DisplayName("counts a connection as an entry link after its EntryHello")
  void entryLink() {
    send(ENTRY);
    long before = count(atServer, "link_bytes_in{kind=\"peer\"}");
    send(new RecordsRequest("tickets", 1));
    assertEquals(before, count(atServer, "link_bytes_in{kind=\"peer\"}"));
    assertEquals(1, count(atServer, "link_connections{kind=\"entry\"}"));
    assertEquals(0, count(atServer, "link_connections{kind=\"peer\"}"));
    assertEquals(1, count(atClient, "link_connections{kind=\"entry\"}"));
  }
}
