package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Ends a started program when the bench ends, however the bench ends.
 *
 * <p>A shutdown hook covers regular ends and SIGTERM. SIGKILL runs no hook, so a shell waits on a
 * pipe from the bench, which the operating system closes, and then kills the program by its id.
 */
final class Watchdog {
  private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(Watchdog::killAll, "kill-processes"));
  }

  private Watchdog() {}

  static void watch(Process p) throws IOException {
    RUNNING.add(p);
    String script = "read -r line; [ \"$line\" = ended ] || kill -9 " + p.pid();
    Process shell =
        new ProcessBuilder("sh", "-c", script)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    p.onExit()
        .thenAccept(
            ended -> {
              RUNNING.remove(p);
              release(shell);
            });
  }

  private static void release(Process shell) {
    try (OutputStream out = shell.getOutputStream()) {
      out.write("ended\n".getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      shell.destroy(); // The shell has ended already.
    }
  }

  private static void killAll() {
    RUNNING.forEach(Process::destroyForcibly);
  }
}
