import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: logs of topics with one partition, and consumer groups. */
final class Store implements AutoCloseable {
  private static final int TOPICS = 4;
  private static final int PARTS = 8;

  private record Entry(String key, byte[] value) {}

  /**
   * A consumer group. A partition that is dealt to another member stays with the one that has it
   * until that member joins with the new generation, leaves or lapses.
   */
  private static final class Group {
    long generation;
    final TreeMap<String, Long> expiry = new TreeMap<>();
    List<String> members = List.of();
    final String[] dealt = new String[TOPICS * PARTS];
    final String[] holders = new String[TOPICS * PARTS];
  }

  private final Map<String, List<Entry>> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private final HttpServer server;

  /** Whether partitions are reassigned at once when they are dealt anew. */
  volatile boolean atOnce;

  /** Is told of each join: the member, and the rows of its partitions. */
  volatile BiConsumer<String, String> joins = (member, rows) -> {};

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    server.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r, "store");
              t.setDaemon(true);
              return t;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  synchronized void put(String topic, String key, String value) {
    topics
        .computeIfAbsent(topic, t -> new ArrayList<>())
        .add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  private void handle(HttpExchange x) throws IOException {
    try {
      byte[] body = x.getRequestBody().readAllBytes();
      switch (x.getRequestURI().getPath()) {
        case "/log-newest" -> newest(x);
        case "/log-read" -> read(x);
        case "/log-append" -> append(x, body);
        case "/log-join" -> join(x, new String(body, StandardCharsets.UTF_8));
        case "/log-leave" -> leave(x, new String(body, StandardCharsets.UTF_8));
        case "/log-owners" -> owners(x);
        default -> send(x, 404, new byte[0]);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      send(x, 400, String.valueOf(e).getBytes(StandardCharsets.UTF_8));
    }
  }

  private void newest(HttpExchange x) throws IOException {
    Map<String, Entry> newest = new LinkedHashMap<>();
    long end;
    synchronized (this) {
      List<Entry> log = topics.getOrDefault(parameter(x, "topic", ""), List.of());
      for (Entry e : log) {
        newest.remove(e.key());
        newest.put(e.key(), e);
      }
      end = log.size();
    }
    StringBuilder items = new StringBuilder();
    for (Entry e : newest.values()) {
      items
          .append(items.length() == 0 ? "" : ",")
          .append("{\"key\":\"" + e.key() + "\",\"offset\":0,\"value\":\"")
          .append(Base64.getEncoder().encodeToString(e.value()))
          .append("\"}");
    }
    json(x, "{\"items\":[" + items + "],\"more\":false,\"end\":" + end + "}");
  }

  private void read(HttpExchange x) throws IOException, InterruptedException {
    int from = Integer.parseInt(parameter(x, "from", "0"));
    long until = System.currentTimeMillis() + Long.parseLong(parameter(x, "wait_ms", "0"));
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(body);
    synchronized (this) {
      String topic = parameter(x, "topic", "");
      while (topics.getOrDefault(topic, List.of()).size() <= from) {
        long left = until - System.currentTimeMillis();
        if (left <= 0) {
          break;
        }
        wait(left);
      }
      List<Entry> log = topics.getOrDefault(topic, List.of());
      out.writeLong(log.size());
      out.writeLong(0);
      for (Entry e : log.subList(Math.min(from, log.size()), log.size())) {
        byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
        out.writeInt(1 + key.length + e.value().length);
        out.writeByte(key.length);
        out.write(key);
        out.write(e.value());
      }
    }
    send(x, 200, body.toByteArray());
  }

  private void append(HttpExchange x, byte[] body) throws IOException {
    DataInputStream in = new DataInputStream(new java.io.ByteArrayInputStream(body));
    int length = in.readInt();
    byte[] key = in.readNBytes(in.readUnsignedByte());
    byte[] value = in.readNBytes(length - 1 - key.length);
    int end;
    synchronized (this) {
      List<Entry> log =
          topics.computeIfAbsent(parameter(x, "topic", ""), t -> new ArrayList<>());
      log.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
      end = log.size();
      notifyAll();
    }
    json(x, "{\"offset\":" + (end - 1) + ",\"end\":" + end + "}");
  }

  private void join(HttpExchange x, String body) throws IOException {
    String member = field(body, "member");
    StringBuilder rows = new StringBuilder();
    long generation;
    synchronized (this) {
      Group g = groups.computeIfAbsent(field(body, "group"), n -> new Group());
      g.expiry.put(member, System.currentTimeMillis() + Long.parseLong(field(body, "ttl_ms")));
      deal(g);
      generation = g.generation;
      boolean knows = Long.parseLong(field(body, "generation")) >= generation;
      for (int i = 0; i < TOPICS * PARTS; i++) {
        if (knows && member.equals(g.holders[i]) && !member.equals(g.dealt[i])) {
          g.holders[i] = null;
        }
        if (g.holders[i] == null || !g.expiry.containsKey(g.holders[i])) {
          g.holders[i] = g.dealt[i];
        }
        if (member.equals(g.dealt[i]) && member.equals(g.holders[i])) {
          rows.append(rows.length() == 0 ? "" : ",")
              .append("[\"endpoints-%d\",%d,0]".formatted(i / PARTS, i % PARTS));
        }
      }
    }
    joins.accept(member, rows.toString());
    json(x, "{\"generation\":" + generation + ",\"parts\":[" + rows + "]}");
  }

  private void deal(Group g) {
    long now = System.currentTimeMillis();
    g.expiry.values().removeIf(t -> t < now);
    List<String> members = List.copyOf(g.expiry.keySet());
    if (!members.equals(g.members)) {
      g.members = members;
      g.generation++;
      for (int i = 0; i < TOPICS * PARTS; i++) {
        g.dealt[i] = members.isEmpty() ? null : members.get(i % members.size());
        g.holders[i] = atOnce ? g.dealt[i] : g.holders[i];
      }
    }
  }

  private void leave(HttpExchange x, String body) throws IOException {
    synchronized (this) {
      Group g = groups.computeIfAbsent(field(body, "group"), n -> new Group());
      g.expiry.remove(field(body, "member"));
      deal(g);
    }
    json(x, "{}");
  }

  private void owners(HttpExchange x) throws IOException {
    StringBuilder rows = new StringBuilder();
    synchronized (this) {
      Group g = groups.computeIfAbsent(parameter(x, "group", ""), n -> new Group());
      deal(g);
      for (int i = 0; i < TOPICS * PARTS; i++) {
        if (g.holders[i] != null && g.expiry.containsKey(g.holders[i])) {
          rows.append(rows.length() == 0 ? "" : ",")
              .append(
                  "[\"endpoints-%d\",%d,\"%s\",0]"
                      .formatted(i / PARTS, i % PARTS, g.holders[i]));
        }
      }
    }
    json(x, "{\"parts\":[" + rows + "]}");
  }

  private static String field(String json, String name) {
    Matcher m = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
    return m.find() ? m.group(1) : "";
  }

  private static String parameter(HttpExchange x, String name, String other) {
    String query = x.getRequestURI().getRawQuery();
    for (String p : (query == null ? "" : query).split("&")) {
      if (p.startsWith(name + "=")) {
        return URLDecoder.decode(p.substring(name.length() + 1), StandardCharsets.UTF_8);
      }
    }
    return other;
  }

  private static void json(HttpExchange x, String body) throws IOException {
    send(x, 200, body.getBytes(StandardCharsets.UTF_8));
  }

  private static void send(HttpExchange x, int status, byte[] body) throws IOException {
    x.getResponseHeaders().set("Content-Type", "application/json");
    x.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    x.getResponseBody().write(body);
    x.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
