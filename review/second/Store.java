import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: topics, keyed topics and groups. It can be away for a moment
 * and come back from a copy some seconds old, with the header Store-Era one higher.
 */
final class Store {
  private static final int PARTS = 8;
  private static final long COPY_INTERVAL_MS = 250;
  private static final long EXPIRY_INTERVAL_MS = 50;

  private final Record record;
  private final Http.Server server;
  private final ArrayDeque<Copy> copies = new ArrayDeque<>();
  private State state = new State();
  private Copy marked;
  private int era = 1;
  private boolean away;

  /** What is lost when the store comes back from a copy. */
  private static final class State {
    private final Map<String, List<byte[]>> topics = new TreeMap<>();
    private final Map<String, Group> groups = new TreeMap<>();

    private State copy() {
      State s = new State();
      topics.forEach((n, l) -> s.topics.put(n, new ArrayList<>(l)));
      groups.forEach((n, g) -> s.groups.put(n, g.copy()));
      return s;
    }
  }

  private record Copy(long ms, State state) {}

  /** A group: its members, and the holder of each partition. */
  private static final class Group {
    private long generation;
    private List<String> topics = List.of();
    private final Map<String, long[]> members = new LinkedHashMap<>();
    private final TreeMap<String, String> wanted = new TreeMap<>();
    private final TreeMap<String, String> holders = new TreeMap<>();

    private Group copy() {
      Group g = new Group();
      g.generation = generation;
      g.topics = topics;
      members.forEach((n, m) -> g.members.put(n, m.clone()));
      g.wanted.putAll(wanted);
      g.holders.putAll(holders);
      return g;
    }

    /** Distributes the partitions evenly; moves as few as possible. */
    private void distribute() {
      generation++;
      List<String> names = new ArrayList<>(members.keySet());
      List<String> all = new ArrayList<>();
      for (String t : topics) {
        for (int p = 0; p < PARTS; p++) {
          all.add(t + " " + p);
        }
      }
      wanted.values().removeIf(m -> !members.containsKey(m));
      holders.values().removeIf(m -> !members.containsKey(m));
      if (names.isEmpty()) {
        return;
      }
      int most = (all.size() + names.size() - 1) / names.size();
      int full = all.size() % names.size();
      Map<String, List<String>> byMember = new LinkedHashMap<>();
      names.forEach(n -> byMember.put(n, new ArrayList<>()));
      wanted.forEach((p, m) -> byMember.get(m).add(p));
      List<String> free = new ArrayList<>(all);
      free.removeAll(wanted.keySet());
      int mostMembers = full == 0 ? names.size() : full;
      List<String> bySize = new ArrayList<>(names);
      bySize.sort((a, b) -> byMember.get(b).size() - byMember.get(a).size());
      int i = 0;
      Map<String, Integer> share = new HashMap<>();
      for (String n : bySize) {
        share.put(n, i++ < mostMembers ? most : most - 1);
      }
      for (String n : names) {
        List<String> l = byMember.get(n);
        while (l.size() > share.get(n)) {
          free.add(l.remove(l.size() - 1));
        }
      }
      for (String n : names) {
        List<String> l = byMember.get(n);
        while (l.size() < share.get(n)) {
          l.add(free.remove(0));
        }
      }
      wanted.clear();
      byMember.forEach((m, l) -> l.forEach(p -> wanted.put(p, m)));
      wanted.forEach((p, m) -> holders.putIfAbsent(p, m));
    }
  }

  Store(Record record) throws IOException {
    this.record = record;
    this.server = new Http.Server(0, this::handle);
    Http.daemon(this::expireMembers);
    Http.daemon(this::copyRegularly);
  }

  int port() {
    return server.port();
  }

  synchronized int era() {
    return era;
  }

  private void copyRegularly() {
    while (true) {
      pause(COPY_INTERVAL_MS);
      synchronized (this) {
        if (!away) {
          copies.addLast(new Copy(record.nowMs(), state.copy()));
        }
      }
    }
  }

  private void expireMembers() {
    while (true) {
      pause(EXPIRY_INTERVAL_MS);
      synchronized (this) {
        long now = record.nowMs();
        state.groups.forEach(
            (name, g) -> {
              if (!away && g.members.values().removeIf(m -> now - m[0] > m[1])) {
                g.distribute();
                record.line("store group " + name + " generation " + g.generation + " (lapse)");
              }
            });
      }
    }
  }

  /** Makes the copy from which {@link #drillFromMark} comes back. */
  synchronized void markCopy() {
    marked = new Copy(record.nowMs(), state.copy());
    record.line("store makes the copy");
  }

  /** Is away for a moment, and comes back from the marked copy. */
  void drillFromMark(long awayMs) {
    drill(awayMs, -1);
  }

  /** Is away for a moment, and comes back from a copy. */
  void drill(long awayMs, long ageMs) {
    synchronized (this) {
      away = true;
      notifyAll();
      record.line("store away");
    }
    server.resetAll();
    pause(awayMs);
    synchronized (this) {
      long wantedMs = record.nowMs() - awayMs - ageMs;
      Copy c = ageMs < 0 ? marked : copies.peekFirst();
      for (Copy x : ageMs < 0 ? List.<Copy>of() : copies) {
        c = x.ms() <= wantedMs ? x : c;
      }
      int lost = 0;
      for (Map.Entry<String, List<byte[]>> t : state.topics.entrySet()) {
        lost += t.getValue().size() - c.state().topics.getOrDefault(t.getKey(), List.of()).size();
      }
      state = c.state().copy();
      copies.clear();
      long now = record.nowMs();
      // Members have their whole time to join again.
      state.groups.values().forEach(g -> g.members.values().forEach(m -> m[0] = now));
      era++;
      away = false;
      record.line(
          "store back from a copy of second " + c.ms() / 1000.0 + ", era " + era + ", " + lost
              + " records gone");
      state.groups.forEach(
          (n, g) ->
              record.line(
                  "store group " + n + " generation " + g.generation + " members "
                      + g.members.keySet()));
      notifyAll();
    }
  }

  /** Writes a keyed record as the operator or a runner does; returns its offset. */
  synchronized long write(String topic, String key, byte[] value) {
    while (away) {
      waitFor(10);
    }
    byte[] k = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer b = ByteBuffer.allocate(1 + k.length + value.length);
    b.put((byte) k.length).put(k).put(value);
    List<byte[]> log = state.topics.computeIfAbsent(topic + " 0", t -> new ArrayList<>());
    log.add(b.array());
    notifyAll();
    return log.size() - 1;
  }

  synchronized long end(String topic) {
    return state.topics.getOrDefault(topic + " 0", List.of()).size();
  }

  synchronized Map<String, String> holders(String group) {
    Group g = state.groups.get(group);
    return g == null ? Map.of() : new TreeMap<>(g.holders);
  }

  synchronized long generation(String group) {
    Group g = state.groups.get(group);
    return g == null ? 0 : g.generation;
  }

  private boolean handle(Http.Message m, Socket connection, OutputStream out) throws IOException {
    Answer a;
    synchronized (this) {
      a = away ? new Answer(503, new byte[0], "application/json") : answer(m);
      if (away) {
        a = new Answer(503, new byte[0], "application/json");
      }
    }
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", a.type);
    headers.put("Store-Era", String.valueOf(era()));
    out.write(Http.response(a.status, headers, a.body));
    return true;
  }

  private record Answer(int status, byte[] body, String type) {}

  private static Answer json(int status, String text) {
    return new Answer(status, text.getBytes(StandardCharsets.UTF_8), "application/json");
  }

  private Answer answer(Http.Message m) {
    Map<String, String> q = m.query();
    String log = q.get("topic") + " " + q.get("part");
    String body = new String(m.body, StandardCharsets.UTF_8);
    return switch (m.path()) {
      case "/log-read" -> read(log, q);
      case "/log-newest" -> newest(log, q.getOrDefault("after", ""));
      case "/log-append" -> append(log, m.body);
      case "/log-join" -> join(body);
      case "/log-leave" -> leave(body);
      case "/log-owners" -> owners(q.get("group"));
      default -> json(404, "{}");
    };
  }

  private Answer read(String log, Map<String, String> q) {
    long from = Long.parseLong(q.get("from"));
    long until = record.nowMs() + Long.parseLong(q.getOrDefault("wait_ms", "0"));
    int eraBefore = era;
    List<byte[]> l = state.topics.getOrDefault(log, List.of());
    while (l.size() == from && record.nowMs() < until && !away && era == eraBefore) {
      waitFor(until - record.nowMs());
      l = state.topics.getOrDefault(log, List.of());
    }
    if (from > l.size()) {
      return json(410, "{\"first\":0}");
    }
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    b.writeBytes(ByteBuffer.allocate(16).putLong(l.size()).putLong(0).array());
    for (byte[] r : l.subList((int) from, l.size())) {
      b.writeBytes(ByteBuffer.allocate(4).putInt(r.length).array());
      b.writeBytes(r);
    }
    return new Answer(200, b.toByteArray(), "application/octet-stream");
  }

  private Answer newest(String log, String after) {
    List<byte[]> l = state.topics.getOrDefault(log, List.of());
    TreeMap<String, String> items = new TreeMap<>();
    for (int i = 0; i < l.size(); i++) {
      byte[] r = l.get(i);
      String key = new String(r, 1, r[0] & 0xff, StandardCharsets.UTF_8);
      int at = 1 + (r[0] & 0xff);
      if (at == r.length) {
        items.remove(key);
      } else {
        String value =
            Base64.getEncoder().encodeToString(java.util.Arrays.copyOfRange(r, at, r.length));
        items.put(
            key, "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"offset\":" + i + "}");
      }
    }
    String list = String.join(",", items.tailMap(after, false).values());
    return json(200, "{\"items\":[" + list + "],\"more\":false,\"end\":" + l.size() + "}");
  }

  private Answer append(String log, byte[] body) {
    List<byte[]> l = state.topics.computeIfAbsent(log, t -> new ArrayList<>());
    long first = l.size();
    ByteBuffer b = ByteBuffer.wrap(body);
    while (b.remaining() >= 4) {
      byte[] r = new byte[b.getInt()];
      b.get(r);
      l.add(r);
    }
    notifyAll();
    return json(200, "{\"offset\":" + first + ",\"end\":" + l.size() + "}");
  }

  private Answer join(String body) {
    String name = Http.field(body, "group");
    String member = Http.field(body, "member");
    long generation = Long.parseLong(Http.field(body, "generation"));
    Group g = state.groups.computeIfAbsent(name, n -> new Group());
    g.topics = Http.list(body, "topics");
    long[] times = {record.nowMs(), Long.parseLong(Http.field(body, "ttl_ms"))};
    if (g.members.put(member, times) == null) {
      g.distribute();
      record.line("store group " + name + " generation " + g.generation + ", " + member + " joins");
    } else if (generation >= g.generation) {
      g.wanted.forEach(
          (p, m) -> {
            if (member.equals(g.holders.get(p)) && !m.equals(member)) {
              g.holders.put(p, m);
            }
          });
    }
    List<String> rows = new ArrayList<>();
    g.wanted.forEach(
        (p, m) -> {
          if (m.equals(member) && member.equals(g.holders.get(p))) {
            rows.add("[\"" + p.split(" ")[0] + "\"," + p.split(" ")[1] + ",0]");
          }
        });
    return json(
        200,
        "{\"generation\":" + g.generation + ",\"ttl_ms\":" + times[1] + ",\"parts\":["
            + String.join(",", rows) + "]}");
  }

  private Answer leave(String body) {
    String name = Http.field(body, "group");
    String member = Http.field(body, "member");
    Group g = state.groups.get(name);
    if (g != null && g.members.remove(member) != null) {
      g.distribute();
      record.line("store group " + name + " generation " + g.generation + ", " + member + " leaves");
    }
    return json(200, "{}");
  }

  private Answer owners(String name) {
    Group g = state.groups.get(name);
    List<String> rows = new ArrayList<>();
    if (g != null) {
      g.holders.forEach(
          (p, m) ->
              rows.add(
                  "[\"" + p.split(" ")[0] + "\"," + p.split(" ")[1] + ",\"" + m + "\",0]"));
    }
    return json(200, "{\"parts\":[" + String.join(",", rows) + "]}");
  }

  private void waitFor(long ms) {
    try {
      wait(Math.max(1, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
